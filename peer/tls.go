package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"bronzehook/api"
	"bronzehook/fault"
)

// devCertLifetime is the lifetime of certificates that are generated in memory.
const devCertLifetime = 10 * 365 * 24 * time.Hour

// peerTLS returns the TLS configuration for both clients and servers. The common name of a certificate is the ID of its
// instance. Certificates are verified against the configured authorities but not against a host name, because a
// replacement of an instance may run at another address.
func peerTLS(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.NextProtos = []string{protocolName}
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAnyClientCert
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(base.RootCAs, state.PeerCertificates)
	}
	return config
}

// verifyChain verifies a certificate chain against the configured authorities.
func verifyChain(roots *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return fault.New(fault.CodeUnauthenticated, "peer handshake", "no certificate")
	}
	// With a nil pool, Verify would accept the authorities of the operating system.
	if roots == nil {
		return fault.New(fault.CodeUnauthenticated, "peer handshake", "no authorities configured")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := chain[0].Verify(options); err != nil {
		return fault.New(fault.CodeUnauthenticated, "peer handshake", "%v", err)
	}
	return nil
}

func peerID(qc *quic.Conn) api.InstanceID {
	return api.InstanceID(qc.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
}

// statelessResetKey derives the QUIC stateless reset key from the private key of the instance. The key is the same
// after a restart, so that peers detect the restart within one round trip instead of after the idle timeout.
func statelessResetKey(config *tls.Config) (*quic.StatelessResetKey, error) {
	if config == nil || len(config.Certificates) == 0 {
		return nil, fault.New(fault.CodeInvalid, "peer TLS", "no certificate configured")
	}
	der, err := x509.MarshalPKCS8PrivateKey(config.Certificates[0].PrivateKey)
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, "peer TLS", "private key: %v", err)
	}
	key := quic.StatelessResetKey(sha256.Sum256(der))
	return &key, nil
}

// DevAuthority is an in-memory certificate authority for --dev and tests.
type DevAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewDevAuthority returns an authority with a newly generated key.
func NewDevAuthority() (*DevAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template := devTemplate("bronzehook development authority", 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &DevAuthority{cert: cert, key: key, pool: pool}, nil
}

// TLS issues a certificate for an instance and returns a TLS configuration with it.
func (a *DevAuthority) TLS(id api.InstanceID) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := devTemplate(string(id), time.Now().UnixNano())
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	cert := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: a.pool}, nil
}

// DevTLS returns a TLS configuration for a single instance with an authority of its own. Instances that call each other
// must share a DevAuthority instead.
func DevTLS(id api.InstanceID) (*tls.Config, error) {
	authority, err := NewDevAuthority()
	if err != nil {
		return nil, err
	}
	return authority.TLS(id)
}

func devTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(devCertLifetime),
	}
}
