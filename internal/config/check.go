package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

// maxNameLength bounds names of nodes, data centres, regions and operators.
const maxNameLength = 64

func nonEmpty(v string) string {
	if v == "" {
		return "value is empty"
	}
	return ""
}

// nodeName checks names that appear in logs, headers and the member list.
func nodeName(v string) string {
	if v == "" || len(v) > maxNameLength {
		return fmt.Sprintf("name is empty or longer than %d characters", maxNameLength)
	}
	for _, c := range v {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', strings.ContainsRune("-_.", c):
		default:
			return fmt.Sprintf("name contains %q", c)
		}
	}
	return ""
}

func ipPort(v string) string {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return "not an IP number and port such as 10.0.0.1:8080"
	}
	if a.Port() == 0 {
		return "port is 0"
	}
	return ""
}

// dialable checks an address that other nodes connect to.
func dialable(v string) string {
	if reason := ipPort(v); reason != "" {
		return reason
	}
	if netip.MustParseAddrPort(v).Addr().IsUnspecified() {
		return "other nodes cannot connect to an unspecified address"
	}
	return ""
}

func seeds(v string) string {
	list := splitList(v)
	for i, a := range list {
		if reason := dialable(a); reason != "" {
			return fmt.Sprintf("entry %q: %s", a, reason)
		}
		if slices.Contains(list[:i], a) {
			return fmt.Sprintf("entry %q occurs twice", a)
		}
	}
	return ""
}

func baseURL(v string) string {
	u, err := url.Parse(v)
	switch {
	case err != nil || u.Scheme != "http" && u.Scheme != "https":
		return "not a URL such as http://10.0.0.1:7000"
	case u.User != nil:
		return "URL contains credentials"
	case u.RawQuery != "" || u.Fragment != "":
		return "URL has a query or fragment"
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return "host is not an IP number"
	}
	return ""
}

// withoutPassword returns a value as it may be quoted in a message.
func withoutPassword(v string) string {
	u, err := url.Parse(v)
	if err != nil || u.User == nil {
		return v
	}
	return u.Redacted()
}

func hexDigest(v string) string {
	if b, err := hex.DecodeString(v); err != nil || len(b) != sha256.Size {
		return "not a SHA-256 digest in hex (64 digits)"
	}
	return ""
}

func rights(v string) string {
	list := splitList(v)
	for i, r := range list {
		if !slices.Contains(Rights, r) {
			return fmt.Sprintf("right %q is not one of %s", r, strings.Join(Rights, ", "))
		}
		if slices.Contains(list[:i], r) {
			return fmt.Sprintf("right %q occurs twice", r)
		}
	}
	return ""
}

func splitList(v string) []string {
	var out []string
	for _, s := range strings.Split(v, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}

// reservedName is the name of the platform among the sources that a node has
// evidence from (membership.PlatformSource).
const reservedName = "platform"

func dataCentreName(v string) string {
	if v == reservedName {
		return fmt.Sprintf("%q is not allowed as the name of a data centre", v)
	}
	return nodeName(v)
}
