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

// devValidity is the validity of certificates made in memory.
const devValidity = 10 * 365 * 24 * time.Hour

// peerTLS returns the configuration for both roles. The instance's ID is the common name of its certificate; instances
// are replaced at other addresses, so certificates are verified against the authorities and not against a host name.
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

func verifyChain(roots *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return fault.New(fault.CodeUnauthenticated, "peer handshake", "no certificate")
	}
	// A nil pool would mean the system's authorities.
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

// statelessResetKey derives a secret that survives a restart, so that peers notice a restarted instance within one
// round trip instead of after the idle timeout.
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

// DevAuthority is a certificate authority in memory for --dev and tests.
type DevAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewDevAuthority makes an authority with a fresh key.
func NewDevAuthority() (*DevAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make authority key")
	}
	template := devTemplate("bronzehook development authority", 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "make authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &DevAuthority{cert: cert, key: key, pool: pool}, nil
}

// TLS makes a certificate for an instance and returns its configuration.
func (a *DevAuthority) TLS(id api.InstanceID) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make key")
	}
	template := devTemplate(string(id), time.Now().UnixNano())
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "make certificate")
	}
	cert := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: a.pool}, nil
}

// DevTLS makes an authority and a certificate for one instance. Instances that talk to each other share a DevAuthority
// instead.
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
		NotAfter:     time.Now().Add(devValidity),
	}
}
