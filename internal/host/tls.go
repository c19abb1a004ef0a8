package host

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// serverTLS returns the configuration of a listener for callers or operators, or
// nil if no certificate is set.
func (f TLSFiles) serverTLS() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the configuration of both sides of a connection between hosts,
// or nil if no certificate is set. Each side requires of the other a certificate
// that the authority signed.
func (f TLSFiles) peerTLS() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load the peers' certificate")
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "load the peers' authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("load the peers' authority: %s holds no certificate", f.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS13,
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The addresses of hosts change, so certificates cannot name them.
		// VerifyConnection checks the authority's signature instead of the name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verifyPeer(cs, pool) },
	}, nil
}

// verifyPeer checks that a certificate of pool signed the peer's certificate.
func verifyPeer(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("the other host presented no certificate")
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify the other host's certificate")
}
