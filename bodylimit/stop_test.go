package bodylimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// stopTimeout is how long the servers of these tests may take to stop.
const stopTimeout = 500 * time.Millisecond

// stoppingServer serves requests that each take until release is closed.
func stoppingServer(t *testing.T, now func() time.Time) (addr string, started <-chan struct{}, release chan struct{}, stop func() error) {
	t.Helper()
	entered, release := make(chan struct{}, 1), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})}
	listener := serveLimited(t, server, 10, NewMetrics(prometheus.NewRegistry()), now)
	return listener.Addr().String(), entered, release, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return listener.Shutdown(ctx)
	}
}

// get sends a request to a server and returns an error if there is no response.
func get(addr string) error {
	response, err := http.Get("http://" + addr)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against a planned stop that fails because a caller has connected and sent nothing.
func TestShutdownDoesNotWaitForUnusedConnections(t *testing.T) {
	addr, _, _, stop := stoppingServer(t, time.Now)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// Guards against a planned stop that cuts off a request because it arrives just after its connection.
func TestShutdownWaitsForTheRequestOfANewConnection(t *testing.T) {
	accepted := time.Now()
	addr, started, release, stop := stoppingServer(t, func() time.Time { return accepted })
	close(release)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The server has accepted the connection once it has answered on one that was opened later.
	if err := get(addr); err != nil {
		t.Fatal(err)
	}
	<-started
	sent := make(chan error, 1)
	time.AfterFunc(stopTimeout/10, func() {
		_, err := io.WriteString(conn, getRequest)
		sent <- err
	})
	if err := stop(); err != nil {
		t.Error(err)
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("the request got %q, %v", answer, err)
	}
}

// Guards against a planned stop that fails although the last request has been answered: net/http checks 255 ms after the begin of
// the stop, and next after 511 ms.
func TestShutdownNoticesTheEndOfTheLastRequest(t *testing.T) {
	addr, started, release, stop := stoppingServer(t, time.Now)
	answered := make(chan error, 1)
	go func() { answered <- get(addr) }()
	<-started
	time.AfterFunc(stopTimeout*7/10, func() { close(release) })
	if err := stop(); err != nil {
		t.Error(err)
	}
	if err := <-answered; err != nil {
		t.Errorf("the request was not answered: %v", err)
	}
}

// Guards against a planned stop that reports success although it cut off a request.
func TestShutdownReportsRequestsThatItCutsOff(t *testing.T) {
	addr, started, release, stop := stoppingServer(t, time.Now)
	defer close(release)
	go func() { _ = get(addr) }()
	<-started
	var unfinished *UnfinishedError
	if err := stop(); !errors.As(err, &unfinished) || unfinished.Requests != 1 {
		t.Errorf("stop returned %v", err)
	}
}
