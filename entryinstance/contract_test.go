package entryinstance

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/rpc/entrypb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEntry responds to heartbeats at once and to claims when release is closed,
// and echoes relayed chunks.
type fakeEntry struct {
	entrypb.UnimplementedEntryServer
	release chan struct{}
	calls   atomic.Int32
}

func (f *fakeEntry) Heartbeat(ctx context.Context, state *entrypb.State) (*entrypb.State, error) {
	f.calls.Add(1)
	return &entrypb.State{Identity: &entrypb.Identity{Name: "server"}}, nil
}

func (f *fakeEntry) Claim(ctx context.Context, _ *entrypb.ClaimRequest) (*entrypb.ClaimResponse, error) {
	f.calls.Add(1)
	select {
	case <-f.release:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_CLAIMED}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *fakeEntry) Relay(stream entrypb.Entry_RelayServer) error {
	f.calls.Add(1)
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(&entrypb.RelayResponse{Chunk: msg.GetChunk()}); err != nil {
			return err
		}
	}
}

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t testing.TB) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue returns a new key and certificate for the DNS names.
func (a *authority) issue(t testing.TB, names ...string) *TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "instance"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		DNSNames:     names,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return &TLS{
		CertPEM: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		KeyPEM:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		CAPEM:   a.pem,
	}
}

// startServer serves the handler on loopback and returns its address.
func startServer(t testing.TB, config Config, handler entrypb.EntryServer) string {
	listener, err := Listen(config, "127.0.0.1:0")
	assert.NilError(t, err)
	serve(t, config, handler, listener)
	return listener.Addr().String()
}

func serve(t testing.TB, config Config, handler entrypb.EntryServer, listener net.Listener) {
	server, err := NewServer(config, handler)
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		assert.NilError(t, <-served)
	})
}

func newTestPool(t testing.TB, config Config) *Pool {
	pool, err := NewPool(config)
	assert.NilError(t, err)
	t.Cleanup(pool.Close)
	return pool
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestAuthentication(t *testing.T) {
	ownAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	valid := ownAuthority.issue(t, PeerName)
	bound := ownAuthority.issue(t, PeerName, "a.entry-instance")
	otherCert := otherAuthority.issue(t, PeerName)
	otherClient := &TLS{CertPEM: otherCert.CertPEM, KeyPEM: otherCert.KeyPEM, CAPEM: ownAuthority.pem}
	tests := []struct {
		name           string
		server, client *TLS
		claimed        string
		want           codes.Code
	}{
		{"plain text on loopback", nil, nil, "a", codes.OK},
		{"mutual TLS", valid, valid, "a", codes.OK},
		{"certificate bound to the name", valid, bound, "a", codes.OK},
		{"certificate bound to another name", valid, bound, "b", codes.PermissionDenied},
		{"client of another authority", valid, otherClient, "a", codes.Unavailable},
		{"server of another authority", otherCert, valid, "a", codes.Unavailable},
		{"client without TLS", valid, nil, "a", codes.Unavailable},
		{"server without TLS", nil, valid, "a", codes.Unavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handler := &fakeEntry{}
			address := startServer(t, Config{TLS: test.server}, handler)
			client, err := newTestPool(t, Config{TLS: test.client}).Client(address)
			assert.NilError(t, err)
			_, err = client.Heartbeat(testContext(t), &entrypb.State{Identity: &entrypb.Identity{Name: test.claimed}})
			assert.Equal(t, status.Code(err), test.want, "%v", err)
			assert.Equal(t, handler.calls.Load() == 1, test.want == codes.OK)
		})
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	ownAuthority := newAuthority(t)
	other := ownAuthority.issue(t, "upstream.example")
	valid := ownAuthority.issue(t, PeerName)
	tests := []struct {
		name string
		tls  TLS
		want string
	}{
		{"DNS name of another kind of server", *other, "lacks the DNS name"},
		{"no authority", TLS{CertPEM: valid.CertPEM, KeyPEM: valid.KeyPEM}, "TLS authority"},
		{"key of another certificate", TLS{CertPEM: valid.CertPEM, KeyPEM: other.KeyPEM, CAPEM: ownAuthority.pem}, "certificate and key"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewServer(Config{TLS: &test.tls}, &fakeEntry{})
			assert.ErrorContains(t, err, test.want)
			_, err = NewPool(Config{TLS: &test.tls})
			assert.ErrorContains(t, err, test.want)
		})
	}
	_, err := Listen(Config{}, "0.0.0.0:0")
	assert.Assert(t, errors.Is(err, ErrPlaintext))
	_, err = Listen(Config{}, "entry.example:80")
	assert.ErrorContains(t, err, "is not an IP address and port")
	listener, err := Listen(Config{AllowPlaintext: true}, "0.0.0.0:0")
	assert.NilError(t, err)
	listener.Close()
	_, err = newTestPool(t, Config{}).Client("entry.example:80")
	assert.ErrorContains(t, err, "is not an IP address and port")
}

func TestOverBufconn(t *testing.T) {
	listener := bufconn.Listen(1 << 16)
	serve(t, Config{}, &fakeEntry{}, listener)
	pool, err := NewPoolWithDialer(Config{}, func(ctx context.Context, _ string) (net.Conn, error) {
		return listener.DialContext(ctx)
	})
	assert.NilError(t, err)
	defer pool.Close()
	client, err := pool.Client("127.0.0.1:1")
	assert.NilError(t, err)
	response, err := client.Heartbeat(testContext(t), &entrypb.State{})
	assert.NilError(t, err)
	assert.Equal(t, response.GetIdentity().GetName(), "server")
	_, err = client.Claim(testContext(t), &entrypb.ClaimRequest{Fingerprint: make([]byte, MaxMessageBytes+1)})
	assert.Equal(t, status.Code(err), codes.ResourceExhausted)
}

// TestStatusOfEndedCalls checks the status code of a waiting call that is ended in
// different ways.
func TestStatusOfEndedCalls(t *testing.T) {
	tests := []struct {
		name string
		// fault is called while a call waits.
		fault func(pool *Pool, address string, cancel context.CancelFunc)
		want  codes.Code
	}{
		{"default timeout", func(*Pool, string, context.CancelFunc) {}, codes.DeadlineExceeded},
		{"cancelled by the caller", func(_ *Pool, _ string, cancel context.CancelFunc) { cancel() }, codes.Canceled},
		{"peer forgotten", func(p *Pool, address string, _ context.CancelFunc) { p.Forget(address) }, codes.Unavailable},
		{"pool closed", func(p *Pool, _ string, _ context.CancelFunc) { p.Close() }, codes.Unavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handler := &fakeEntry{release: make(chan struct{})}
			address := startServer(t, Config{}, handler)
			pool := newTestPool(t, Config{})
			client, err := pool.Client(address)
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			failed := make(chan error)
			go func() {
				_, err := client.Claim(ctx, &entrypb.ClaimRequest{})
				failed <- err
			}()
			waitFor(t, func() bool { return handler.calls.Load() == 1 })
			test.fault(pool, address, cancel)
			assert.Equal(t, status.Code(<-failed), test.want)
		})
	}
}

func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition was not met")
}
