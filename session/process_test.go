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
	// logTail is how much of an instance's log a failed test shows.
	logTail = 6000
	// stopLimit is the bound of a planned stop: the default of 30 s, and 5 s for the process to end.
	stopLimit = 35 * time.Second
)

// process is one instance that runs as a process of its own.
type process struct {
	id           string
	location     api.Location
	callerAddr   string
	operatorAddr string
	peerAddr     string
	log          string
	cmd          *exec.Cmd
	// ended is closed after the process has ended; err is what Wait returned.
	ended chan struct{}
	err   error
}

// writeCertificate writes the files that the flags of a peer's certificate name, and returns these flags.
func writeCertificate(t *testing.T, dir, id string, authority *peer.DevAuthority, caPath string) []string {
	t.Helper()
	config, err := authority.TLS(api.InstanceID(id))
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

// writeAuthority writes the authority's certificate, taken from a handshake, because DevAuthority does not export it.
func writeAuthority(t *testing.T, path string, authority *peer.DevAuthority) {
	t.Helper()
	writePEM(t, path, "CERTIFICATE", authorityDER(t, authority))
}

func authorityDER(t *testing.T, authority *peer.DevAuthority) []byte {
	t.Helper()
	config, err := authority.TLS("any")
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

// start starts the process with the flags.
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
	// Without it, instances outlive a test process that is killed from outside.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.ended = make(chan struct{})
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	t.Cleanup(func() { p.end(t) })
}

// cleanEnvironment leaves out the variables that would change the settings of an instance.
func cleanEnvironment() []string {
	var kept []string
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "BRONZEHOOK_") {
			kept = append(kept, variable)
		}
	}
	return kept
}

// end kills the process if it still runs, and shows its log if the test failed.
func (p *process) end(t *testing.T) {
	if !p.hasEnded() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if !t.Failed() {
		return
	}
	text, _ := os.ReadFile(p.log)
	t.Logf("log of %s, the last %d bytes:\n%s", p.id, logTail, text[max(0, len(text)-logTail):])
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
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

// waitStopped waits for the end of a planned stop and returns the exit code.
func (p *process) waitStopped(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopLimit):
		t.Fatalf("%s has not ended within %s after SIGTERM", p.id, stopLimit)
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

// kill ends the process without warning and waits for its end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.ended
}
