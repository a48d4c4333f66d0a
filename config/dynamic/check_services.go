package dynamic

import (
	"net/netip"
	"strings"

	"github.com/samber/lo"
)

func (c *checker) checkServices() {
	versions := lo.CountValuesBy(c.set.Versions, func(v Version) string { return v.Service })
	hasRollout := lo.SliceToMap(c.set.Rollouts, func(r Rollout) (string, bool) { return r.Service, true })
	for i, service := range c.set.Services {
		o := c.forObject(KindService, i, service.Name)
		o.checkStableVersion(service, versions[service.Name], hasRollout[service.Name])
		o.checkPath("health_path", service.HealthPath)
		o.checkPath("load_path", service.LoadPath)
	}
	for i, version := range c.set.Versions {
		o := c.forObject(KindVersion, i, versionName(version))
		o.requireObject("service", KindService, version.Service)
	}
	c.checkUpstreams()
}

// checkStableVersion checks that the stable version, if set, exists, and that it is
// set for a service with several versions and no roll-out.
func (o objectChecker) checkStableVersion(service Service, versions int, hasRollout bool) {
	if service.StableVersion != "" {
		o.requireVersion("stable_version", service.Name, service.StableVersion)
		return
	}
	o.require(versions <= 1 || hasRollout, "stable_version", "missing; the service has %d versions and no roll-out", versions)
}

func (o objectChecker) checkPath(field, path string) {
	o.require(path == "" || strings.HasPrefix(path, "/"), field, "%q does not start with \"/\"", path)
}

func (c *checker) checkUpstreams() {
	seen := map[netip.AddrPort]string{}
	for i, upstream := range c.set.Upstreams {
		o := c.forObject(KindUpstream, i, upstream.Name)
		if o.requireObject("service", KindService, upstream.Service) {
			o.requireVersion("version", upstream.Service, upstream.Version)
		}
		o.requireObject("failure_domain", KindFailureDomain, upstream.FailureDomain)
		o.require(upstream.Slots >= 1, "slots", "must be at least 1")
		o.require(upstream.Connections >= 0, "connections", "must not be negative")
		tooFew := upstream.Connections > 0 && upstream.Connections < upstream.Slots
		o.require(!tooFew, "connections", "fewer than the %d slots", upstream.Slots)
		address, ok := o.parseAddress(upstream.Address)
		if !ok {
			continue
		}
		if other, taken := seen[address]; taken {
			o.addError("address", "upstream %q has the same address", other)
		}
		seen[address] = upstream.Name
	}
}

// requireVersion checks that a field names a version of the service, and reports
// whether it does.
func (o objectChecker) requireVersion(field, service, version string) bool {
	switch {
	case version == "":
		o.addError(field, "missing")
	case !o.names[KindVersion][service+"/"+version]:
		o.addError(field, "service %q has no version %q", service, version)
	default:
		return true
	}
	return false
}

func (o objectChecker) parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil || address.Port() == 0:
		o.addError("address", "%q is not an IP address and port such as \"10.0.0.1:8080\"", text)
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		o.addError("address", "%q is not the address of one host", text)
	default:
		return address, true
	}
	return netip.AddrPort{}, false
}
