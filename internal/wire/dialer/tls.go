package dialer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/jaygw/jaygw"
	"github.com/rotisserie/eris"
)

// ReadTLS returns the configuration for both sides of the connections between processes: each side
// presents a certificate of the installation's own CA and verifies that of the other side. It
// returns nil without settings.
func ReadTLS(settings *jaygw.TLSSettings) (*tls.Config, error) {
	if settings == nil {
		return nil, nil
	}
	pem, err := os.ReadFile(settings.CAFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the CA's certificate")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s contains no certificate in PEM format", settings.CAFile)
	}
	certificate, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "read the certificate %s and its key %s", settings.CertificateFile, settings.KeyFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// WrapTLS wraps a listener in TLS. It returns the listener itself without a configuration.
func WrapTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}
