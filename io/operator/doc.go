// Package operator is the HTTP interface for operators: the state dump, the
// metrics, the command to drain a host, and the console for the configuration,
// with a JSON interface and HTML forms.
package operator
