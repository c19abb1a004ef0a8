package main

import (
	"errors"
	"os"

	"pearlatch/internal/process"
)

// gatewayCommand runs a host on the users' platform, whose members acknowledge
// writes themselves.
type gatewayCommand struct {
	Settings string `long:"settings" env:"PEARLATCH_SETTINGS" required:"true" description:"settings file (YAML)"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	err := process.Run(c.Settings, os.Stdout)
	if invalid := (*process.SettingsError)(nil); errors.As(err, &invalid) {
		return &exitError{exitUsage, err}
	}
	return err
}
