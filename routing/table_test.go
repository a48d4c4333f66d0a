package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
)

func compile(t *testing.T, set dynamic.Set) *Table {
	t.Helper()
	table, err := Compile(&dynamic.Config{Version: 1, Set: set})
	assert.NilError(t, err)
	return table
}

// TestLeftCustomerIsAdmittedOnlyWhereNamedOrOpen guards against a customer that
// has left keeping access to routes that admit every customer.
func TestLeftCustomerIsAdmittedOnlyWhereNamedOrOpen(t *testing.T) {
	table := compile(t, dynamic.Set{
		Customers: []dynamic.Customer{{Name: "member"}, {Name: "gone", Left: true}, {Name: "public"}},
		Services:  []dynamic.Service{{Name: "ledger"}},
		Routes: []dynamic.Route{
			{Name: "all", Service: "ledger", PathPrefix: "/all"},
			{Name: "closing", Service: "ledger", PathPrefix: "/closing", Customers: []string{"gone"}},
			{Name: "open", Service: "ledger", PathPrefix: "/open", Open: true, OpenCustomer: "public"},
			{Name: "both", Service: "ledger", PathPrefix: "/both", Customers: []string{"gone", "member"}},
		},
	})
	for _, c := range []struct {
		route        string
		member, gone bool
	}{
		{"all", true, false},
		{"closing", false, true},
		{"both", true, true},
		{"open", true, true},
	} {
		route := table.Route(c.route)
		assert.Equal(t, route.Admits(table.Customer("member")), c.member, c.route)
		assert.Equal(t, route.Admits(table.Customer("gone")), c.gone, c.route)
	}
}

func TestStableVersion(t *testing.T) {
	v1, v2 := dynamic.Version{Name: "v1", Service: "s"}, dynamic.Version{Name: "v2", Service: "s"}
	rollback := dynamic.Rollout{Name: "r", Service: "s", From: "v2", To: "v1"}
	for name, c := range map[string]struct {
		stable   string
		versions []dynamic.Version
		rollouts []dynamic.Rollout
		want     string
	}{
		"no version":            {"", nil, nil, ""},
		"the only version":      {"", []dynamic.Version{v2}, nil, "v2"},
		"named":                 {"v2", []dynamic.Version{v1, v2}, nil, "v2"},
		"start of a roll-out":   {"", []dynamic.Version{v1, v2}, []dynamic.Rollout{rollback}, "v2"},
		"named, with roll-out":  {"v1", []dynamic.Version{v1, v2}, []dynamic.Rollout{rollback}, "v1"},
		"roll-out of another":   {"", []dynamic.Version{v1}, []dynamic.Rollout{{Name: "r", Service: "o", From: "o1"}}, "v1"},
		"named, one version":    {"v1", []dynamic.Version{v1}, nil, "v1"},
		"versions not in order": {"v1", []dynamic.Version{v2, v1}, nil, "v1"},
	} {
		table := compile(t, dynamic.Set{
			Services: []dynamic.Service{{Name: "s", StableVersion: c.stable}, {Name: "o"}},
			Versions: c.versions, Rollouts: c.rollouts,
		})
		assert.Equal(t, table.Service("s").StableVersion, c.want, name)
	}
}
