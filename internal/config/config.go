// Package config reads a node's own settings: its addresses, its data centre,
// the platform and the credentials between nodes and of operators. What
// operators change while traffic runs is not here but in the settings tree.
package config

import (
	"os"
	"strings"

	"github.com/teaselseam/teaselseam/internal/settings"
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
const (
	RightRead = "read" // settings, status, audit trail, key list
	RightEdit = "edit" // settings, quarantine
	RightKeys = "keys" // issue and revoke keys
)

// Rights are all rights of operators.
var Rights = []string{RightRead, RightEdit, RightKeys}

// Problem is an invalid setting of the process.
type Problem = settings.Problem

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
	check    func(string) string // returns the reason why a value is wrong
	set      func(*Config, string)
	optional bool
}

// fields are the known keys of one section, in the order in which missing ones
// are reported.
type fields []struct {
	key string
	field
}

var sections = []struct {
	name   string
	fields fields
}{
	{"node", fields{
		{"name", field{check: nodeName, set: func(c *Config, v string) { c.Node.Name = v }}},
		{"data_centre", field{check: dataCentreName, set: func(c *Config, v string) { c.Node.DataCentre = v }}},
		{"region", field{check: nodeName, set: func(c *Config, v string) { c.Node.Region = v }}},
		{"ingress", field{check: ipPort, set: func(c *Config, v string) { c.Node.Ingress = v }}},
		{"peer", field{check: dialable, set: func(c *Config, v string) { c.Node.PeerAddr = v }}},
		{"admin", field{check: ipPort, set: func(c *Config, v string) { c.Node.Admin = v }}},
	}},
	{"peer", fields{
		{"ca_file", field{check: nonEmpty, set: func(c *Config, v string) { c.Peer.CAFile = v }}},
		{"cert_file", field{check: nonEmpty, set: func(c *Config, v string) { c.Peer.CertFile = v }}},
		{"key_file", field{check: nonEmpty, set: func(c *Config, v string) { c.Peer.KeyFile = v }}},
		{"seeds", field{check: seeds, set: func(c *Config, v string) { c.Peer.Seeds = splitList(v) }, optional: true}},
	}},
	{"platform", fields{
		{"address", field{check: baseURL, set: func(c *Config, v string) { c.Platform.Address = v }}},
	}},
}

// operatorPrefix starts the name of an operator's section.
const operatorPrefix = "operator "

// Parse reads and validates settings; the file name is used in errors only. The
// first wrong value in the order of the file is returned as *Problem, and missing
// settings come after those.
func Parse(file string, data []byte) (*Config, error) {
	read, err := settings.ReadSections(file, data)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	given := map[[2]string]bool{}
	for _, s := range read {
		for _, v := range s.Values {
			given[[2]string{s.Name, v.Key}] = true
		}
		if err := c.section(file, s); err != nil {
			return nil, err
		}
	}
	for _, s := range sections {
		for _, f := range s.fields {
			if !f.optional && !given[[2]string{s.name, f.key}] {
				return nil, settings.NewProblem(file, s.name, f.key, "", "setting is required")
			}
		}
	}
	return c, c.checkAddresses(file)
}

func (c *Config) section(file string, s settings.Section) error {
	if s.Name == "" {
		return settings.NewProblem(file, "", s.Values[0].Key, s.Values[0].Value, "setting stands outside a section")
	}
	if name, ok := strings.CutPrefix(s.Name, operatorPrefix); ok {
		return c.operator(file, strings.TrimSpace(name), s)
	}
	known, ok := fieldsOf(s.Name)
	if !ok {
		return settings.NewProblem(file, s.Name, "", "", "unknown section")
	}
	for _, v := range s.Values {
		f, ok := known.find(v.Key)
		if !ok {
			return settings.NewProblem(file, s.Name, v.Key, v.Value, "unknown setting")
		}
		if reason := f.check(v.Value); reason != "" {
			return settings.NewProblem(file, s.Name, v.Key, withoutPassword(v.Value), reason)
		}
		f.set(c, v.Value)
	}
	return nil
}

func fieldsOf(section string) (fields, bool) {
	for _, s := range sections {
		if s.name == section {
			return s.fields, true
		}
	}
	return nil, false
}

func (fs fields) find(key string) (field, bool) {
	for _, f := range fs {
		if f.key == key {
			return f.field, true
		}
	}
	return field{}, false
}

// checkAddresses refuses two listeners on one address.
func (c *Config) checkAddresses(file string) error {
	seen := map[string]string{}
	for _, a := range [][2]string{{"ingress", c.Node.Ingress}, {"peer", c.Node.PeerAddr}, {"admin", c.Node.Admin}} {
		if other, ok := seen[a[1]]; ok {
			return settings.NewProblem(file, "node", a[0], a[1], "same address as "+other)
		}
		seen[a[1]] = a[0]
	}
	return nil
}

func (c *Config) operator(file, name string, s settings.Section) error {
	if reason := nodeName(name); reason != "" {
		return settings.NewProblem(file, s.Name, "", "", "operator name: "+reason)
	}
	o := Operator{Name: name}
	for _, v := range s.Values {
		var reason string
		switch v.Key {
		case "token_sha256":
			o.TokenDigest, reason = strings.ToLower(v.Value), hexDigest(v.Value)
			if reason != "" {
				v.Value = "" // it may be the token itself
			}
		case "rights":
			o.Rights, reason = splitList(v.Value), rights(v.Value)
		default:
			v.Value, reason = "", "unknown setting"
		}
		if reason != "" {
			return settings.NewProblem(file, s.Name, v.Key, v.Value, reason)
		}
	}
	switch {
	case o.TokenDigest == "":
		return settings.NewProblem(file, s.Name, "token_sha256", "", "setting is required")
	case len(o.Rights) == 0:
		return settings.NewProblem(file, s.Name, "rights", "", "setting is required")
	}
	for _, other := range c.Operators {
		if other.Name == o.Name {
			return settings.NewProblem(file, s.Name, "", "", "operator occurs twice")
		}
		if other.TokenDigest == o.TokenDigest {
			return settings.NewProblem(file, s.Name, "token_sha256", o.TokenDigest, "same token as operator "+other.Name)
		}
	}
	c.Operators = append(c.Operators, o)
	return nil
}
