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

// Process is one instance, which runs as a process of its own with its own loopback address.
type Process struct {
	Node       *topology.Node
	CallerLink *Proxy // from callers to the instance
	PeerLink   *Proxy // from other instances to the instance
	StoreLink  *Proxy // from the instance to the store

	binary, settingsFile, logFile string // paths

	output *os.File // replaces standard output; nil: standard output goes to logFile

	mu              sync.Mutex
	cmd             *exec.Cmd     // nil: not running
	exited          chan struct{} // closed when the process has exited
	starts          int           // number of times the process was started
	startedAt       time.Time
	shouldRun       bool     // false after SIGTERM or SIGKILL was sent
	graceExceeded   bool     // the process was killed because it ran beyond its grace period
	unexpectedExits []string // descriptions of exits that no signal asked for
	exitErr         error    // result of the last exit; nil: exit code 0
}

// processOptions configures a Process.
type processOptions struct {
	Binary, Dir, IP, Name, Domain string
	Domains                       []string
	StoreAddr                     string
}

// The settings of the instances. They are those of users' deployments.
const (
	gracePeriod  = 8 * time.Second
	leaseTTL     = 3 * time.Second
	retryRatio   = 0.2
	retryWindow  = 10 * time.Second
	retryReserve = 58
	memoryMB     = 184
)

func newProcess(o processOptions) (*Process, error) {
	n := &topology.Node{
		Name: o.Name, Domain: o.Domain, IP: o.IP, Domains: o.Domains, MemoryMB: memoryMB,
		Grace: gracePeriod, LeaseTTL: leaseTTL, RetryRatio: retryRatio, RetryWindow: retryWindow, RetryReserve: retryReserve,
	}
	if err := freeAddrs(o.IP, &n.CallersAddr, &n.HealthAddr, &n.PeerAddr); err != nil {
		return nil, err
	}
	p := &Process{
		Node: n, binary: o.Binary,
		settingsFile: filepath.Join(o.Dir, o.Name+".toml"), logFile: filepath.Join(o.Dir, o.Name+".log"),
	}
	for link, target := range map[**Proxy]string{&p.CallerLink: n.CallersAddr, &p.PeerLink: n.PeerAddr, &p.StoreLink: o.StoreAddr} {
		var err error
		if *link, err = NewProxy(target); err != nil {
			return nil, err
		}
	}
	n.StoreAddr = p.StoreLink.Addr
	return p, standin.WriteSettings(p.settingsFile, n)
}

// freeAddrs sets each of addrs to an unused address on a loopback IP. All listeners are open
// at the same time, so no two addresses are the same.
func freeAddrs(ip string, addrs ...*string) error {
	for _, addr := range addrs {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return errors.WithStack(err)
		}
		defer l.Close() // no connection was accepted
		*addr = l.Addr().String()
	}
	return nil
}

// Start starts the process if it isn't running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	defer logFile.Close() // the process has its own descriptor
	cmd := exec.Command(p.binary, "instance")
	cmd.Env = append(os.Environ(), standin.SettingsEnv(p.settingsFile))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if p.output != nil {
		cmd.Stdout = p.output
	}
	if err := cmd.Start(); err != nil {
		return errors.WithStack(err)
	}
	p.cmd, p.shouldRun, p.exited = cmd, true, make(chan struct{})
	p.starts++
	p.startedAt = time.Now()
	go p.wait(cmd, p.exited)
	return nil
}

// wait waits until the process exits and records the exit.
func (p *Process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitErr = err
	if p.shouldRun {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.Node.Name, err))
	}
	p.cmd = nil
	close(exited)
}

// Signal sends a signal if the process is running. An exit after SIGTERM or SIGKILL counts as
// expected.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.shouldRun = false
	}
	_ = p.cmd.Process.Signal(s) // fails only if the process has exited
}

// AwaitExit waits until the process has exited. It kills the process after gracePeriod, as
// the platform would.
func (p *Process) AwaitExit() {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		p.Signal(syscall.SIGKILL)
		<-exited
		p.mu.Lock()
		p.graceExceeded = true
		p.mu.Unlock()
	}
}

// Close kills the process and closes its links.
func (p *Process) Close() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.AwaitExit()
	for _, link := range p.links() {
		link.Close()
	}
}

func (p *Process) links() []*Proxy { return []*Proxy{p.CallerLink, p.PeerLink, p.StoreLink} }

// Boot returns the number of times that the process was started.
func (p *Process) Boot() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// StartedAt returns when the process was last started.
func (p *Process) StartedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedAt
}

// UnexpectedExits describes each exit that was not preceded by SIGTERM or SIGKILL.
func (p *Process) UnexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.unexpectedExits...)
}

// healthCheckTimeout is how long the load balancer waits for a health check.
const healthCheckTimeout = 300 * time.Millisecond

// Ready reports whether a health check of the instance passes.
func (p *Process) Ready(ctx context.Context, client *http.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Node.HealthAddr+"/", nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close() // only the status matters
	return res.StatusCode == http.StatusOK
}
