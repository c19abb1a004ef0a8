package config

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func readTestdata(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestEncodeWritesDefaults(t *testing.T) {
	doc, err := Parse(readTestdata(t, "valid.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "valid", Encode(doc))
}

func TestParseReportsEveryMistake(t *testing.T) {
	for _, name := range []string{"mistakes", "cross_field", "alias", "not_yaml"} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(readTestdata(t, name+".yaml"))
			if err == nil {
				t.Fatal("no mistake found")
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"valid.yaml", "mistakes.yaml", "cross_field.yaml", "alias.yaml"} {
		f.Add(readTestdata(f, name))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		if err != nil {
			return
		}
		encoded := Encode(doc)
		again, err := Parse(encoded)
		if err != nil {
			t.Fatalf("Parse(Encode(doc)): %v\n%s", err, encoded)
		}
		if !reflect.DeepEqual(doc, again) {
			t.Fatalf("Parse(Encode(doc)) differs:\n%+v\n%+v", doc, again)
		}
		if !bytes.Equal(encoded, Encode(again)) {
			t.Fatalf("Encode is not stable:\n%s", encoded)
		}
	})
}

func TestEncodeEditedReplacesOneSection(t *testing.T) {
	doc, err := Parse(readTestdata(t, "valid.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	edit := Edit{Route: "desk", Fields: []Field{
		{Name: "name", Value: "desk"}, {Name: "group", Value: "nowhere"}, {Name: "credential", Value: "app"}, {Name: "deadline", Value: "soon"},
	}}
	if _, err = Parse(EncodeEdited(doc, edit)); err == nil {
		t.Fatal("the edit's mistakes were not found")
	}
	goldie.New(t).Assert(t, "edited", []byte(err.Error()+"\n"))
}
