package main

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/peer"
	"bronzehook/settings"
)

// loadPeerTLS loads the certificate of this instance and the certificate authorities of the others. With --dev and no
// certificate, both are generated in memory.
func loadPeerTLS(s *settings.Settings) (*tls.Config, error) {
	if s.Dev && s.PeerCert == "" {
		return peer.DevTLS(api.InstanceID(s.ID))
	}
	certificate, err := tls.LoadX509KeyPair(s.PeerCert, s.PeerKey)
	if err != nil {
		return nil, invalidFile("peer-cert", s.PeerCert, err)
	}
	pem, err := os.ReadFile(s.PeerCA)
	if err != nil {
		return nil, invalidFile("peer-ca", s.PeerCA, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, invalidFile("peer-ca", s.PeerCA, nil)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: roots, MinVersion: tls.VersionTLS13}, nil
}

// invalidFile reports a flag whose PEM file cannot be used.
func invalidFile(flag, path string, cause error) error {
	invalid := &settings.InvalidError{Flag: flag, Value: path, Accepted: "a PEM file with a certificate and its key"}
	return errors.WithSecondaryError(errors.WithStack(invalid), cause)
}
