package certificates_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/operator/certificates"
	"samphireferry.example/ferry/rpc/entrypb"
)

type echo struct {
	entrypb.UnimplementedEntryServer
}

func (echo) Heartbeat(_ context.Context, state *entrypb.State) (*entrypb.State, error) {
	return state, nil
}

func issue(t *testing.T, authority *certificates.Pair, name string) *entryinstance.TLS {
	pair, err := certificates.Issue(authority, name, time.Now(), 24*time.Hour)
	assert.NilError(t, err)
	return &entryinstance.TLS{CertPEM: pair.CertPEM, KeyPEM: pair.KeyPEM, CAPEM: authority.CertPEM}
}

func TestEntryInstancesAuthenticateEachOther(t *testing.T) {
	authority, err := certificates.NewAuthority(time.Now(), 48*time.Hour)
	assert.NilError(t, err)
	otherAuthority, err := certificates.NewAuthority(time.Now(), 2*time.Hour)
	assert.NilError(t, err)
	client := issue(t, authority, "Client_1.east")
	otherClient := issue(t, otherAuthority, "Client_1.east")
	untrusted := &entryinstance.TLS{CertPEM: otherClient.CertPEM, KeyPEM: otherClient.KeyPEM, CAPEM: authority.CertPEM}
	bothAuthorities := append(append([]byte{}, authority.CertPEM...), otherAuthority.CertPEM...)
	renewed := &entryinstance.TLS{CertPEM: otherClient.CertPEM, KeyPEM: otherClient.KeyPEM, CAPEM: bothAuthorities}
	current := &entryinstance.TLS{CertPEM: client.CertPEM, KeyPEM: client.KeyPEM, CAPEM: bothAuthorities}
	cases := map[string]struct {
		server, client *entryinstance.TLS
		claimed        string
		want           codes.Code
	}{
		"same authority":              {issue(t, authority, "server"), client, "Client_1.east", codes.OK},
		"name of another instance":    {issue(t, authority, "server"), client, "server", codes.PermissionDenied},
		"authority being replaced":    {current, renewed, "Client_1.east", codes.OK},
		"client of another authority": {issue(t, authority, "server"), untrusted, "Client_1.east", codes.Unavailable},
		"server of another authority": {issue(t, otherAuthority, "server"), client, "Client_1.east", codes.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server, err := entryinstance.NewServer(entryinstance.Config{TLS: c.server}, echo{})
			assert.NilError(t, err)
			listener, err := entryinstance.Listen(entryinstance.Config{TLS: c.server}, "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			pool, err := entryinstance.NewPool(entryinstance.Config{TLS: c.client})
			assert.NilError(t, err)
			defer pool.Close()
			peer, err := pool.Client(listener.Addr().String())
			assert.NilError(t, err)
			_, err = peer.Heartbeat(t.Context(), &entrypb.State{Identity: &entrypb.Identity{Name: c.claimed}})
			assert.Equal(t, status.Code(err), c.want, "%v", err)
		})
	}
	expiry, err := otherClient.Expiry()
	assert.NilError(t, err)
	assert.Assert(t, expiry.Equal(otherAuthority.NotAfter.Truncate(time.Second)), "a certificate ends with its authority")
	left, err := otherClient.SecondsLeft(func() time.Time { return expiry.Add(-time.Minute) })
	assert.NilError(t, err)
	assert.Equal(t, left(), 60.0)
}

func TestIssueRejectsInvalidInput(t *testing.T) {
	now := time.Now()
	authority, err := certificates.NewAuthority(now, 48*time.Hour)
	assert.NilError(t, err)
	instance, err := certificates.Issue(authority, "a", now, time.Hour)
	assert.NilError(t, err)
	mismatched := &certificates.Pair{CertPEM: authority.CertPEM, KeyPEM: instance.KeyPEM}
	cases := []struct {
		authority *certificates.Pair
		name      string
		now       time.Time
		validity  time.Duration
		want      string
	}{
		{authority, "10.0.0.1:80", now, time.Hour, "instance name"},
		{authority, "a..b", now, time.Hour, "instance name"},
		{authority, "a", now, time.Minute, "validity"},
		{authority, "a", now, 10000 * time.Hour, "validity"},
		{authority, "a", now.Add(47*time.Hour + time.Minute), time.Hour, "the authority is valid until"},
		{instance, "a", now, time.Hour, "not that of an authority"},
		{mismatched, "a", now, time.Hour, "certificate and key of the authority"},
	}
	for _, c := range cases {
		_, err := certificates.Issue(c.authority, c.name, c.now, c.validity)
		assert.ErrorContains(t, err, c.want)
	}
}
