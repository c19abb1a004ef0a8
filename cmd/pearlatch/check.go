package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/internal/host"
	"pearlatch/internal/yamlmap"
	"pearlatch/platform"
)

// checkCommand checks a file.
type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &exitError{exitUsage, errors.Wrap(err, "check")}
	}
	kind := "configuration"
	switch {
	case isGatewaySettings(text):
		kind = "settings of a gateway"
		_, err = platform.ParseSettings(text)
	case isHostSettings(text):
		kind = "settings"
		_, err = host.ParseSettings(text)
	default:
		_, err = config.Parse(text)
	}
	if err != nil {
		return &exitError{exitUsage, err}
	}
	fmt.Printf("%s: valid %s\n", c.Args.File, kind)
	return nil
}

// isGatewaySettings tells a gateway's settings, which name a promotion service.
func isGatewaySettings(text []byte) bool {
	var ignored yamlmap.Mistakes
	return yamlmap.Parse(text, &ignored).Has("promotions")
}

// isHostSettings tells settings from a configuration document, which has a version.
func isHostSettings(text []byte) bool {
	var ignored yamlmap.Mistakes
	m := yamlmap.Parse(text, &ignored)
	return m.Has("host") || m.Has("callers") || m.Has("peers")
}
