package soak

import (
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/internal/freeport"
)

// process is one entry instance, which is restarted under the same name and addresses.
type process struct {
	program string
	args    []string
	log     io.Writer
	// Address is where the instance serves callers.
	Address    string
	storeProxy *Proxy

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	paused  bool
}

// newProcess prepares an instance in the failure domain and a proxy through which it
// reaches the store; it doesn't start the instance.
func newProcess(o Options, name string, location domain, store string) (*process, error) {
	proxy, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	p := &process{program: o.Program, log: o.Log, storeProxy: proxy}
	args := []string{
		"-name", name, "-region", location.region, "-failure-domain", location.name, "-platform", "http://" + proxy.Address(),
		"-grace", grace.String(), "-heartbeat-interval", "200ms", "-log-level", o.LogLevel,
	}
	for _, d := range domains {
		args = append(args, "-domain", d.name+"="+d.region)
	}
	for _, flag := range []string{"-listen", "-directory-listen", "-ready-listen", "-rpc-listen"} {
		address, err := freeport.Next()
		if err != nil {
			return nil, err
		}
		args = append(args, flag, address)
		if flag == "-listen" {
			p.Address = address
		}
	}
	p.args = args
	return p, nil
}

// start starts the instance unless it is already running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	command := exec.Command(p.program, p.args...)
	command.Stdout, command.Stderr = p.log, p.log
	err := command.Start()
	if err != nil {
		return errors.Wrap(err, "start entry instance")
	}
	p.command, p.paused = command, false
	p.done = make(chan struct{})
	go p.wait(command, p.done)
	return nil
}

func (p *process) wait(command *exec.Cmd, done chan struct{}) {
	// The exit code is ignored: most processes end by SIGKILL.
	_ = command.Wait()
	p.mu.Lock()
	p.command = nil
	p.mu.Unlock()
	close(done)
}

// signal sends a signal to the instance if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
	// The error is ignored: a process that has just exited cannot be signalled.
	_ = p.command.Process.Signal(s)
}

// terminate resumes the process, sends it the signal and waits for its exit; after the
// grace it sends SIGKILL.
func (p *process) terminate(s syscall.Signal) {
	p.mu.Lock()
	running, done := p.command != nil, p.done
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-done:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-done
	}
}
