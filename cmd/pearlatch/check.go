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

// checkCommand checks a settings file or a configuration document.
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
	case isPlatformConfig(text):
		kind = "configuration of gateways"
		_, err = platform.Decoder{}.Config(text)
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

// isGatewaySettings reports whether text holds the settings of a gateway, which
// name a promotion service.
func isGatewaySettings(text []byte) bool {
	var ignored yamlmap.Mistakes
	return yamlmap.Parse(text, &ignored).Has("promotions")
}

// isPlatformConfig reports whether text holds a configuration that the platform
// gives to gateways, in JSON. It lists services.
func isPlatformConfig(text []byte) bool {
	var ignored yamlmap.Mistakes
	return yamlmap.Parse(text, &ignored).Has("services")
}

// isHostSettings reports whether text holds the settings of a host rather than a
// configuration document, which has a version.
func isHostSettings(text []byte) bool {
	var ignored yamlmap.Mistakes
	m := yamlmap.Parse(text, &ignored)
	return m.Has("host") || m.Has("callers") || m.Has("peers")
}
