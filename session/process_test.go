package session

import (
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/peer"
)

const (
	operatorToken = "session-secret"
	// logTailBytes is the size of the end of an instance's log that a failed test shows.
	logTailBytes = 6000
	// stopLimit bounds a planned stop: the default stop time-out of 30 s, and 5 s for the process to exit.
	stopLimit = 35 * time.Second
)

// process is one instance, run as a separate process.
type process struct {
	id           string
	location     api.Location
	callerAddr   string
	operatorAddr string
	peerAddr     string
	log          string
	cmd          *exec.Cmd
	// exited is closed after the process has exited; err is what Wait returned.
	exited chan struct{}
	err    error
}

// writeCertificate writes the certificate and key of an instance to files, and returns the flags that name these files and
// the CA certificate.
func writeCertificate(t *testing.T, dir, id string, ca *peer.DevAuthority, caPath string) []string {
	t.Helper()
	config, err := ca.TLS(api.InstanceID(id))
	if err != nil {
		t.Fatal(err)
	}
	certificate := config.Certificates[0]
	keyDER, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	certPath := filepath.Join(dir, id+".cert.pem")
	keyPath := filepath.Join(dir, id+".key.pem")
	writePEM(t, certPath, "CERTIFICATE", certificate.Certificate[0])
	writePEM(t, keyPath, "PRIVATE KEY", keyDER)
	return []string{"--peer-cert=" + certPath, "--peer-key=" + keyPath, "--peer-ca=" + caPath}
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	const ownerOnly = 0o600
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), ownerOnly); err != nil {
		t.Fatal(err)
	}
}

// writeCACertificate writes the certificate of the certificate authority.
func writeCACertificate(t *testing.T, path string, ca *peer.DevAuthority) {
	t.Helper()
	writePEM(t, path, "CERTIFICATE", caCertificateDER(t, ca))
}

// caCertificateDER returns the certificate of the authority. DevAuthority does not export it, so it is taken from the verified
// chain of a certificate that the authority issues.
func caCertificateDER(t *testing.T, ca *peer.DevAuthority) []byte {
	t.Helper()
	config, err := ca.TLS("any")
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(config.Certificates[0].Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	chains, err := leaf.Verify(x509.VerifyOptions{Roots: config.RootCAs, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		t.Fatal(err)
	}
	return chains[0][len(chains[0])-1].Raw
}

// start starts the process with the given flags.
func (p *process) start(t *testing.T, flags []string) {
	t.Helper()
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(binary, flags...)
	p.cmd.Stderr = log
	p.cmd.Stdout = log
	p.cmd.Env = cleanEnvironment()
	// Without Pdeathsig, instances outlive a test process that is killed from outside.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() { p.cleanUp(t) })
}

// cleanEnvironment returns the environment without the variables that would change the settings of an instance.
func cleanEnvironment() []string {
	var kept []string
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "BRONZEHOOK_") {
			kept = append(kept, variable)
		}
	}
	return kept
}

// cleanUp kills the process if it still runs, and logs the end of its log if the test failed.
func (p *process) cleanUp(t *testing.T) {
	if !p.hasExited() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if !t.Failed() {
		return
	}
	text, _ := os.ReadFile(p.log)
	t.Logf("log of %s, the last %d bytes:\n%s", p.id, logTailBytes, text[max(0, len(text)-logTailBytes):])
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("%s to %s: %v", s, p.id, err)
	}
}

// waitStopped waits until the process has exited in a planned stop and returns the exit code.
func (p *process) waitStopped(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopLimit):
		t.Fatalf("%s has not exited within %s after SIGTERM", p.id, stopLimit)
		return -1
	}
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.operatorAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill kills the process with SIGKILL and waits until it has exited.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}
