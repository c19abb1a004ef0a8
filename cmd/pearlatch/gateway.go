package main

import (
	"os"

	"pearlatch/internal/process"
	"pearlatch/platform"
)

// gatewayCommand runs a host on the users' platform, whose members acknowledge
// writes themselves.
type gatewayCommand struct {
	Settings string `long:"settings" env:"PEARLATCH_SETTINGS" required:"true" description:"settings file (YAML)"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	return process.Run(s, c.Settings, os.Stdout)
}
