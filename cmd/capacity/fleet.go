package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	token = "capacity-operator"
	// convergeTimeout ends a run whose fleet does not agree.
	convergeTimeout = 60 * time.Second
	pollEvery       = 20 * time.Millisecond
)

const tree = `
[route echo]
path = /echo
service = echo
`

// node is one process with its addresses.
type node struct {
	cmd            *exec.Cmd
	ingress, admin string
	backend        *exec.Cmd // nil without a backend server
}

// fleet is a platform stand-in and its nodes.
type fleet struct {
	dir      string
	ca       *peer.DevAuthority
	standin  *exec.Cmd
	platform *standin.Client
	address  string
	nodes    []*node
	daemon   string
}

func startFleet(daemon string, size, dataCentres int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, daemon: daemon}
	if f.ca, err = peer.NewDevAuthority(); err != nil {
		return f, err
	}
	if f.address, err = freeAddress(); err != nil {
		return f, err
	}
	f.standin = exec.Command(daemon, "platform-standin", "--address", f.address)
	if err := f.standin.Start(); err != nil {
		return f, err
	}
	f.platform = standin.NewClient("http://" + f.address)
	var seed string
	for i := range size {
		address, err := f.startNode(i, i%dataCentres, seed)
		if err != nil {
			return f, err
		}
		if seed == "" {
			seed = address
		}
	}
	return f, nil
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		for _, c := range []*exec.Cmd{n.cmd, n.backend} {
			if c != nil && c.Process != nil {
				_ = c.Process.Kill() // it may have ended
				_ = c.Wait()
			}
		}
	}
	if f.standin != nil && f.standin.Process != nil {
		_ = f.standin.Process.Kill()
		_ = f.standin.Wait()
	}
	os.RemoveAll(f.dir)
}

// startNode starts one node and returns its peer address.
func (f *fleet) startNode(i, dataCentre int, seed string) (string, error) {
	name := fmt.Sprintf("n%04d", i)
	if err := f.ca.WriteFiles(f.dir, name); err != nil {
		return "", err
	}
	var addresses [3]string
	for j := range addresses {
		var err error
		if addresses[j], err = freeAddress(); err != nil {
			return "", err
		}
	}
	if seed == "" {
		seed = addresses[1]
	}
	digest := sha256.Sum256([]byte(token))
	config := fmt.Sprintf("[node]\nname = %s\ndata_centre = dc%d\nregion = r%d\ningress = %s\npeer = %s\nadmin = %s\n\n"+
		"[peer]\nca_file = %s\ncert_file = %s\nkey_file = %s\nseeds = %s\n\n[platform]\naddress = http://%s\n\n"+
		"[operator capacity]\ntoken_sha256 = %s\nrights = read,edit,keys\n",
		name, dataCentre, dataCentre/4, addresses[0], addresses[1], addresses[2],
		filepath.Join(f.dir, "ca.pem"), filepath.Join(f.dir, name+".pem"), filepath.Join(f.dir, name+".key"),
		seed, f.address, hex.EncodeToString(digest[:]))
	file := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return "", err
	}
	n := &node{cmd: exec.Command(f.daemon, "--log-level", "error", "run", "--config", file), ingress: addresses[0], admin: addresses[2]}
	if err := n.cmd.Start(); err != nil {
		return "", err
	}
	f.nodes = append(f.nodes, n)
	return addresses[1], nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// call calls the administration API of a node.
func (n *node) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.admin+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// refusal returns the reason with which a node refuses a request with a key.
func (n *node) refusal(ctx context.Context, key string) request.Reason {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.ingress+"/echo", nil)
	if err != nil {
		return ""
	}
	req.Header.Set(request.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	resp.Body.Close()
	return request.Reason(resp.Header.Get(request.HeaderReason))
}

// awaitAll waits until a condition holds on every node.
func (f *fleet) awaitAll(what string, cond func(*node) bool) error {
	deadline := time.Now().Add(convergeTimeout)
	for _, n := range f.nodes {
		for !cond(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("not on every node within %s: %s", convergeTimeout, what)
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}
