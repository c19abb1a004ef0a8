package config

import (
	"fmt"
	"testing"
)

// largeDocument returns a document of about a megabyte.
func largeDocument(b *testing.B) []byte {
	b.Helper()
	doc, err := Parse(readTestdata(b, "valid.yaml"))
	if err != nil {
		b.Fatal(err)
	}
	route := doc.Routes[0]
	for i := range 4500 {
		route.Name = fmt.Sprintf("route-%d", i)
		doc.Routes = append(doc.Routes, route)
	}
	return Encode(doc)
}

func BenchmarkParse(b *testing.B) {
	text := largeDocument(b)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}
