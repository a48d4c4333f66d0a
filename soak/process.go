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

// process is one entry instance, started again under the same name and addresses
// after each end.
type process struct {
	program string
	args    []string
	log     io.Writer
	// Address serves callers.
	Address string
	store   *Proxy

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	paused  bool
}

// newProcess prepares an instance in the failure domain.
func newProcess(o Options, name string, at domain, store string) (*process, error) {
	proxy, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	p := &process{program: o.Program, log: o.Log, store: proxy}
	args := []string{
		"-name", name, "-region", at.region, "-failure-domain", at.name, "-platform", "http://" + proxy.Address(),
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

// start runs the instance unless it runs already.
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
		return errors.Wrap(err, "start an instance")
	}
	p.command, p.paused = command, false
	p.done = make(chan struct{})
	go p.wait(command, p.done)
	return nil
}

func (p *process) wait(command *exec.Cmd, done chan struct{}) {
	// The exit code says nothing: most ends are kills.
	_ = command.Wait()
	p.mu.Lock()
	p.command = nil
	p.mu.Unlock()
	close(done)
}

// signal sends a signal to the process that this soak has started, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
	// A process that has just ended cannot be signalled any more, which is no fault.
	_ = p.command.Process.Signal(s)
}

// end stops the process: with SIGTERM and, after the grace, with SIGKILL.
func (p *process) end(s syscall.Signal) {
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
