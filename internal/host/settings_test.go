package host

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestParseSettings(t *testing.T) {
	for _, name := range []string{"valid", "mistakes"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
			if err != nil {
				t.Fatal(err)
			}
			s, err := ParseSettings(text)
			got := []byte(fmt.Sprintf("%+v\n", s))
			if err != nil {
				got = []byte(err.Error() + "\n")
			}
			goldie.New(t).Assert(t, name, got)
		})
	}
}
