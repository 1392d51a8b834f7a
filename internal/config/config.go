// Package config reads a node's own settings: its addresses, its data centre,
// the platform and the credentials between nodes and of operators. What
// operators change while traffic runs is not here but in the settings tree.
package config

import (
	"fmt"
	"net"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// Config are the settings of one process.
type Config struct {
	Node      Node
	Peer      Peer
	Platform  Platform
	Operators []Operator
}

// Node names the process and its addresses, all as IP:port.
type Node struct {
	Name       string
	DataCentre string
	Region     string
	Ingress    string
	PeerAddr   string
	Admin      string
}

// Peer holds the credentials between nodes and the addresses of some nodes to
// join through.
type Peer struct {
	CAFile   string
	CertFile string
	KeyFile  string
	Seeds    []string
}

// Platform is where the platform is reached.
type Platform struct {
	Address string // base URL with an IP number
}

// Operator may use the administration API.
type Operator struct {
	Name        string
	TokenDigest string // SHA-256 of the bearer token, hex
	Rights      []string
}

// Rights of operators.
var Rights = []string{"read", "edit", "keys"}

// Problem is an invalid setting of the process.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: section %q, key %q, value %q: %s", p.File, p.Section, p.Key, p.Value, p.Reason)
}

// Load reads and validates a settings file.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// field is one known key of a section.
type field struct {
	check func(string) string // returns the reason why a value is wrong
	set   func(*Config, string)
}

var sections = map[string]map[string]field{
	"node": {
		"name":        {nonEmpty, func(c *Config, v string) { c.Node.Name = v }},
		"data_centre": {nonEmpty, func(c *Config, v string) { c.Node.DataCentre = v }},
		"region":      {nonEmpty, func(c *Config, v string) { c.Node.Region = v }},
		"ingress":     {ipPort, func(c *Config, v string) { c.Node.Ingress = v }},
		"peer":        {ipPort, func(c *Config, v string) { c.Node.PeerAddr = v }},
		"admin":       {ipPort, func(c *Config, v string) { c.Node.Admin = v }},
	},
	"peer": {
		"ca_file":   {nonEmpty, func(c *Config, v string) { c.Peer.CAFile = v }},
		"cert_file": {nonEmpty, func(c *Config, v string) { c.Peer.CertFile = v }},
		"key_file":  {nonEmpty, func(c *Config, v string) { c.Peer.KeyFile = v }},
		"seeds":     {ipPorts, func(c *Config, v string) { c.Peer.Seeds = splitList(v) }},
	},
	"platform": {
		"address": {nonEmpty, func(c *Config, v string) { c.Platform.Address = v }},
	},
}

// required keys, as section and key.
var required = [][2]string{
	{"node", "name"},
	{"node", "data_centre"},
	{"node", "region"},
	{"node", "ingress"},
	{"node", "peer"},
	{"node", "admin"},
	{"peer", "ca_file"},
	{"peer", "cert_file"},
	{"peer", "key_file"},
	{"platform", "address"},
}

// Parse reads and validates settings; the file name is used in errors only.
func Parse(file string, data []byte) (*Config, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, &Problem{File: file, Reason: err.Error()}
	}
	c := &Config{}
	for _, s := range f.Sections() {
		if err := c.section(file, s); err != nil {
			return nil, err
		}
	}
	for _, r := range required {
		if !f.Section(r[0]).HasKey(r[1]) {
			return nil, &Problem{File: file, Section: r[0], Key: r[1], Reason: "setting is required"}
		}
	}
	return c, nil
}

func (c *Config) section(file string, s *ini.Section) error {
	name := s.Name()
	if name == ini.DefaultSection && len(s.Keys()) == 0 {
		return nil
	}
	if operator, ok := strings.CutPrefix(name, "operator "); ok {
		return c.operator(file, operator, s)
	}
	fields, ok := sections[name]
	if !ok {
		return &Problem{File: file, Section: name, Reason: "unknown section"}
	}
	for _, k := range s.Keys() {
		f, ok := fields[k.Name()]
		if !ok {
			return &Problem{File: file, Section: name, Key: k.Name(), Value: k.Value(), Reason: "unknown setting"}
		}
		if reason := f.check(k.Value()); reason != "" {
			return &Problem{File: file, Section: name, Key: k.Name(), Value: k.Value(), Reason: reason}
		}
		f.set(c, k.Value())
	}
	return nil
}

func (c *Config) operator(file, name string, s *ini.Section) error {
	o := Operator{Name: name}
	for _, k := range s.Keys() {
		switch k.Name() {
		case "token_sha256":
			o.TokenDigest = k.Value()
		case "rights":
			o.Rights = splitList(k.Value())
		default:
			return &Problem{File: file, Section: s.Name(), Key: k.Name(), Reason: "unknown setting"}
		}
	}
	if len(o.TokenDigest) != 64 {
		return &Problem{File: file, Section: s.Name(), Key: "token_sha256", Reason: "not a SHA-256 digest in hex"}
	}
	c.Operators = append(c.Operators, o)
	return nil
}

func nonEmpty(v string) string {
	if v == "" {
		return "value is empty"
	}
	return ""
}

func ipPort(v string) string {
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return "not an IP number and port such as 10.0.0.1:8080"
	}
	return ""
}

func ipPorts(v string) string {
	for _, a := range splitList(v) {
		if reason := ipPort(a); reason != "" {
			return reason
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
