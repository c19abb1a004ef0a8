package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An operator checks the platform's configuration before it is written to the store. A mistake in it must be named with its
// field, and the document must not be taken for settings or for a configuration of other hosts.
func TestCheckNamesMistakesOfPlatformConfiguration(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join("..", "..", "platform", "testdata", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	check := func(text string) error {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var c checkCommand
		c.Args.File = file
		return c.Execute(nil)
	}
	if err := check(string(valid)); err != nil {
		t.Errorf("a valid configuration: %v", err)
	}
	wrong := strings.Replace(string(valid), "{", `{"tenants":[{"name":"bakery","rate_per_s":-1}],`, 1)
	if err := check(wrong); err == nil || !strings.Contains(err.Error(), "tenants[0].rate_per_s: -1, must be between") {
		t.Errorf("a negative rate: %v", err)
	}
}
