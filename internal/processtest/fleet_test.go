package processtest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/teaselseam/teaselseam/internal/peer"
	"github.com/teaselseam/teaselseam/internal/platform/standin"
	"github.com/teaselseam/teaselseam/internal/request"
)

const (
	operatorToken = "process-test-operator"
	// startTimeout is generous, because it decides only how long a broken
	// program is waited for.
	startTimeout = 30 * time.Second
	pollEvery    = 20 * time.Millisecond
)

// binary is the daemon under test, built once by TestMain.
var (
	binary     string
	buildFlags []string
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "teaselseamd")
	args := append([]string{"build"}, buildFlags...)
	out, err := exec.Command("go", append(args, "-o", binary, "../../cmd/teaselseamd")...).CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *output
	done chan struct{}
}

// output collects what a process prints; it may be read while the process runs.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), log: &output{}, done: make(chan struct{})}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // the exit status is read from ProcessState
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, tail(p.log.String()))
		}
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Errorf("%s reported a data race:\n%s", p.name, p.log.String())
		}
	})
	return p
}

const maxLogShown = 4000

func tail(s string) string { return s[max(0, len(s)-maxLogShown):] }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // the process may have ended

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate asks for a planned stop and waits for it.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(startTimeout):
		t.Fatalf("%s did not stop", p.name)
	}
}

// vm is one VM: a node and the backend server beside it.
type vm struct {
	name, dc, service            string
	ingress, peer, admin, worker string
	node, backend                *process
}

// fleet is a platform stand-in and some VMs.
type fleet struct {
	t        *testing.T
	dir      string
	ca       *peer.DevAuthority
	platform *standin.Client
	address  string
	process  *process
	vms      []*vm
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	ca, err := peer.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, dir: t.TempDir(), ca: ca, address: freeAddress(t)}
	f.process = start(t, "platform", "platform-standin", "--address", f.address)
	f.platform = standin.NewClient("http://" + f.address)
	f.eventually("platform stand-in answers", func() bool {
		_, err := f.platform.Counts(context.Background())
		return err == nil
	})
	return f
}

// nextHost numbers the loopback addresses of this test process.
var nextHost atomic.Int32

// freeAddress returns an address on a loopback IP of its own. On a shared IP,
// another test could take the port before the program under test opens it.
func freeAddress(t *testing.T) string {
	t.Helper()
	n, pid := int(nextHost.Add(1)), os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8+n>>8)&63, pid&255, 1+n&127)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// addVM starts a node and, if service is not empty, a backend server beside it.
func (f *fleet) addVM(name, dc, service string, backendArgs ...string) *vm {
	f.t.Helper()
	v := &vm{
		name: name, dc: dc, service: service,
		ingress: freeAddress(f.t), peer: freeAddress(f.t), admin: freeAddress(f.t), worker: freeAddress(f.t),
	}
	f.vms = append(f.vms, v)
	f.startNode(v)
	if service != "" {
		f.startBackend(v, backendArgs...)
	}
	return v
}

func (f *fleet) startNode(v *vm) {
	f.t.Helper()
	if err := f.ca.WriteFiles(f.dir, v.name); err != nil {
		f.t.Fatal(err)
	}
	digest := sha256.Sum256([]byte(operatorToken))
	config := fmt.Sprintf(`[node]
name = %s
data_centre = %s
region = test
ingress = %s
peer = %s
admin = %s

[peer]
ca_file = %s
cert_file = %s
key_file = %s
seeds = %s

[platform]
address = http://%s

[operator test]
token_sha256 = %s
rights = read,edit,keys
`, v.name, v.dc, v.ingress, v.peer, v.admin,
		filepath.Join(f.dir, "ca.pem"), filepath.Join(f.dir, v.name+".pem"), filepath.Join(f.dir, v.name+".key"),
		f.vms[0].peer, f.address, hex.EncodeToString(digest[:]))
	file := filepath.Join(f.dir, v.name+".ini")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		f.t.Fatal(err)
	}
	v.node = start(f.t, v.name, "--log-level", "debug", "run", "--config", file)
}

func (f *fleet) startBackend(v *vm, args ...string) {
	f.t.Helper()
	args = append([]string{"sample-backend", "--service", v.service, "--address", v.worker, "--ingress", v.ingress}, args...)
	v.backend = start(f.t, "backend server of "+v.name, args...)
}

// eventually waits for a condition; the timeout only ends a test that fails.
func (f *fleet) eventually(what string, cond func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out: %s", what)
		}
		time.Sleep(pollEvery)
	}
}

// admin calls the administration API of a VM's node.
func (f *fleet) admin(v *vm, method, path string, in, out any) (status int, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+v.admin+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if out != nil && resp.StatusCode < http.StatusMultipleChoices {
		return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode, nil
}

// answer is what a caller got.
type answer struct {
	status  int
	id      string
	reason  string
	outcome string
	body    string
}

// send sends one request to the ingress of a VM.
func (v *vm) send(path, key, body string, headers ...string) (answer, error) {
	return sendWith(http.DefaultClient, v, path, key, body, headers...)
}

func sendWith(client *http.Client, v *vm, path, key, body string, headers ...string) (answer, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.ingress+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(request.HeaderKey, key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status:  resp.StatusCode,
		id:      resp.Header.Get(request.HeaderID),
		reason:  resp.Header.Get(request.HeaderReason),
		outcome: resp.Header.Get(request.HeaderOutcome),
		body:    string(data),
	}, err
}

// runs returns how often a backend server ran a request ID.
func (f *fleet) runs(v *vm, id string) int {
	f.t.Helper()
	resp, err := http.Get("http://" + v.worker + "/sample/runs")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var runs map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		f.t.Fatal(err)
	}
	return runs[id]
}

// total returns how many calls a backend server has run.
func (f *fleet) total(v *vm) int {
	f.t.Helper()
	resp, err := http.Get("http://" + v.worker + "/sample/total")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var n int
	if _, err := fmt.Fscan(resp.Body, &n); err != nil {
		f.t.Fatal(err)
	}
	return n
}

func (f *fleet) setDown(down bool) {
	f.t.Helper()
	if err := f.platform.SetFaults(context.Background(), standin.Faults{Down: down}); err != nil {
		f.t.Fatal(err)
	}
}

// allKnown reports whether every node lists every backend server. A test that
// kills one right after the start would otherwise leave a node with none.
func (f *fleet) allKnown() bool {
	want := 0
	for _, v := range f.vms {
		if v.service != "" {
			want++
		}
	}
	for _, v := range f.vms {
		var status struct {
			Nodes []struct{ Service string } `json:"nodes"`
		}
		if _, err := f.admin(v, http.MethodGet, "/v1/status", nil, &status); err != nil {
			return false
		}
		got := 0
		for _, n := range status.Nodes {
			if n.Service != "" {
				got++
			}
		}
		if got < want {
			return false
		}
	}
	return true
}
