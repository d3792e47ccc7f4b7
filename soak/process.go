package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"greengageferry/platform/standin"
	"greengageferry/topology"
)

// Process is one instance: a real program, with its own address on loopback.
type Process struct {
	Node    *topology.Node
	Callers *Proxy // callers' way to it
	Peers   *Proxy // other instances' way to it
	Store   *Proxy // its way to the store

	binary, settings, log string

	output *os.File // where the program writes its log; nil: to the file

	mu      sync.Mutex
	cmd     *exec.Cmd     // nil: it doesn't run
	ended   chan struct{} // closed once it has
	boots   int           // how often it was started
	wanted  bool          // false: it was told to end, or killed
	killed  bool          // its grace period was over before it had ended
	ownEnds []string      // each time that it ended by itself
	lastEnd error         // how it last ended; nil: with exit code 0
}

// processOptions is what a Process is built from.
type processOptions struct {
	Binary, Dir, IP, Name, Domain string
	Domains                       []string
	StoreAddr                     string
}

// The bounds that the instances get, as the users' deployments have them.
const (
	grace        = 8 * time.Second
	leaseTTL     = 3 * time.Second
	retryRatio   = 0.2
	retryWindow  = 10 * time.Second
	retryReserve = 58
	memoryMB     = 184
)

func newProcess(o processOptions) (*Process, error) {
	n := &topology.Node{
		Name: o.Name, Domain: o.Domain, IP: o.IP, Domains: o.Domains, MemoryMB: memoryMB,
		Grace: grace, LeaseTTL: leaseTTL, RetryRatio: retryRatio, RetryWindow: retryWindow, RetryReserve: retryReserve,
	}
	if err := freeAddrs(o.IP, &n.CallersAddr, &n.HealthAddr, &n.PeerAddr); err != nil {
		return nil, err
	}
	p := &Process{
		Node: n, binary: o.Binary,
		settings: filepath.Join(o.Dir, o.Name+".toml"), log: filepath.Join(o.Dir, o.Name+".log"),
	}
	for link, target := range map[**Proxy]string{&p.Callers: n.CallersAddr, &p.Peers: n.PeerAddr, &p.Store: o.StoreAddr} {
		var err error
		if *link, err = NewProxy(target); err != nil {
			return nil, err
		}
	}
	n.StoreAddr = p.Store.Addr
	return p, standin.WriteSettings(p.settings, n)
}

// freeAddrs sets addresses on an IP of loopback that nothing listens at. All are
// open at once for a moment, so that no two are the same.
func freeAddrs(ip string, addrs ...*string) error {
	for _, addr := range addrs {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return errors.WithStack(err)
		}
		defer l.Close() // nothing came that could be lost
		*addr = l.Addr().String()
	}
	return nil
}

// Start starts the program, if it doesn't run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	defer log.Close() // the process has its own
	cmd := exec.Command(p.binary, "instance")
	cmd.Env = append(os.Environ(), standin.SettingsEnv(p.settings))
	cmd.Stdout, cmd.Stderr = log, log
	if p.output != nil {
		cmd.Stdout = p.output
	}
	if err := cmd.Start(); err != nil {
		return errors.WithStack(err)
	}
	p.cmd, p.wanted, p.ended = cmd, true, make(chan struct{})
	p.boots++
	go p.wait(cmd, p.ended)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEnd = err
	if p.wanted {
		p.ownEnds = append(p.ownEnds, fmt.Sprintf("%s ended by itself: %v", p.Node.Name, err))
	}
	p.cmd = nil
	close(ended)
}

// Signal sends a signal, if the program runs. SIGTERM and SIGKILL ask for its end.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.wanted = false
	}
	_ = p.cmd.Process.Signal(s) // it has ended if that fails
}

// AwaitEnd waits until the program has ended, and kills it if it takes longer
// than the platform would wait.
func (p *Process) AwaitEnd() {
	p.mu.Lock()
	ended, runs := p.ended, p.cmd != nil
	p.mu.Unlock()
	if !runs {
		return
	}
	select {
	case <-ended:
	case <-time.After(grace):
		p.Signal(syscall.SIGKILL)
		<-ended
		p.mu.Lock()
		p.killed = true
		p.mu.Unlock()
	}
}

// Close ends the program and its links.
func (p *Process) Close() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.AwaitEnd()
	for _, link := range p.links() {
		link.Close()
	}
}

func (p *Process) links() []*Proxy { return []*Proxy{p.Callers, p.Peers, p.Store} }

// Boot returns how often the program was started.
func (p *Process) Boot() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boots
}

// OwnEnds returns what is known of each time that the program ended by itself.
func (p *Process) OwnEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.ownEnds...)
}

// healthTimeout is how long a balancer waits for a health check.
const healthTimeout = 300 * time.Millisecond

// Ready says whether a health check passes.
func (p *Process) Ready(ctx context.Context, client *http.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Node.HealthAddr+"/", nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the status is all that counts
	return res.StatusCode == http.StatusOK
}
