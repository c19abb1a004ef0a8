// Package config holds the configuration document that operators write, its
// validation, its YAML form and its revisions.
package config
