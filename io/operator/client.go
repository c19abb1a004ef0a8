package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clientTimeout bounds a call of Client. A submission may have to be settled.
const clientTimeout = 30 * time.Second

// Client calls a host's operator address.
type Client struct {
	// Addr is HOST:PORT.
	Addr string
	// Login is needed for everything but Dump.
	Login Login
	// TLS is nil for plain HTTP.
	TLS *tls.Config
}

// httpClient returns the httpClient and the client to use.
func (c Client) httpClient() (scheme string, client *http.Client) {
	if c.TLS == nil {
		return "http://", http.DefaultClient
	}
	return "https://", &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS}}
}

// ErrConflict means that the configuration has changed meanwhile.
var ErrConflict = errors.New("conflict")

// ErrInvalidDocument means that a document is wrong.
var ErrInvalidDocument = errors.New("invalid document")

// Dump returns the host's state as it sent it.
func (c Client) Dump(ctx context.Context) ([]byte, error) {
	var raw json.RawMessage
	err := c.do(ctx, http.MethodGet, "/state", nil, &raw)
	return raw, err
}

// Drain orders a graceful shutdown.
func (c Client) Drain(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/drain", nil, nil)
}

// Get returns the revision in force.
func (c Client) Get(ctx context.Context) (RevisionBody, error) {
	var out RevisionBody
	err := c.do(ctx, http.MethodGet, "/config", nil, &out)
	return out, err
}

// History returns the revisions that the store keeps, newest first, without
// their documents.
func (c Client) History(ctx context.Context) ([]RevisionBody, error) {
	var out []RevisionBody
	err := c.do(ctx, http.MethodGet, "/config/history", nil, &out)
	return out, err
}

// Submit submits a document on a base revision.
func (c Client) Submit(ctx context.Context, in SubmitBody) (RevisionBody, error) {
	var out RevisionBody
	err := c.do(ctx, http.MethodPost, "/config", in, &out)
	return out, err
}

func (c Client) do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrapf(err, "%s %s%s", method, c.Addr, path)
	}
	scheme, client := c.httpClient()
	req, err := http.NewRequestWithContext(ctx, method, scheme+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "%s %s%s", method, c.Addr, path)
	}
	if c.Login.User != "" {
		req.SetBasicAuth(c.Login.User, c.Login.Password)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s %s%s", method, c.Addr, path)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "%s %s%s", method, c.Addr, path)
}

// maxErrorSize bounds how much of a refusal is read, in bytes.
const maxErrorSize = 64 << 10

func responseError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorSize))
	message := strings.TrimSpace(string(text))
	switch resp.StatusCode {
	case http.StatusConflict:
		return errors.WithMessage(ErrConflict, message)
	case http.StatusUnprocessableEntity:
		return errors.WithMessage(ErrInvalidDocument, message)
	}
	return errors.Errorf("status %s: %s", resp.Status, message)
}
