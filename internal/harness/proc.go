package harness

import (
	"bufio"
	"bytes"
	"io"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// maxLogBytes is the size of the last part of a process's output that is
	// kept.
	maxLogBytes = 64 << 10
	// killTimeout bounds the wait for a killed process to exit.
	killTimeout = 10 * time.Second
)

// Proc is one of the project's programs running as a process.
type Proc struct {
	// Name identifies the process in logs.
	Name string

	path string
	args []string
	log  *tailBuffer

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	wg     conc.WaitGroup
}

func newProc(name, path string, args ...string) *Proc {
	return &Proc{Name: name, path: path, args: args, log: &tailBuffer{}}
}

// start starts the process. The channel receives the first line of its standard
// output.
func (p *Proc) start() (firstLine <-chan string, err error) {
	cmd := exec.Command(p.path, p.args...)
	// The kernel kills the process if the harness's process exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = p.log
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", p.Name)
	}
	if err := starter.run(cmd.Start); err != nil {
		return nil, errors.Wrapf(err, "start %s", p.Name)
	}
	line := make(chan string, 1)
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	p.wg.Go(func() {
		p.read(stdout, line)
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(exited)
	})
	return line, nil
}

func (p *Proc) read(stdout io.Reader, firstLine chan<- string) {
	defer close(firstLine)
	reader := bufio.NewReader(stdout)
	line, _ := reader.ReadString('\n')
	firstLine <- line
	_, _ = io.WriteString(p.log, line)
	_, _ = io.Copy(p.log, reader)
}

// signal sends a signal to the process if it has not exited.
func (p *Proc) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// Freeze stops the process with SIGSTOP.
func (p *Proc) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait for the process to exit.
func (p *Proc) Terminate() { p.signal(syscall.SIGTERM) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Proc) Kill() error {
	p.signal(syscall.SIGKILL)
	_, err := p.Wait(killTimeout)
	return err
}

// Wait waits until the process has exited and returns its exit code, which is -1
// where a signal ended it. It returns an error if the process still runs after
// the timeout.
func (p *Proc) Wait(timeout time.Duration) (int, error) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return 0, nil
	}
	select {
	case <-exited:
		return cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, errors.Newf("process %s still runs after %s", p.Name, timeout)
	}
}

// IsRunning reports whether the process runs.
func (p *Proc) IsRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the process ID, 0 before the first start.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns the last part of the process's output.
func (p *Proc) Log() string { return p.log.String() }

// tailBuffer keeps the last maxLogBytes that were written to it.
type tailBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (t *tailBuffer) Write(data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf.Write(data)
	if excess := t.buf.Len() - maxLogBytes; excess > 0 {
		t.buf.Next(excess)
	}
	return len(data), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}

// starter starts processes from a thread that never exits. For Pdeathsig the
// kernel counts the exit of the thread that started a process as the exit of its
// parent, and would kill the process.
var starter = &startThread{calls: make(chan func())}

type startThread struct {
	once  sync.Once
	calls chan func()
}

func (t *startThread) run(call func() error) error {
	t.once.Do(func() { go t.loop() })
	result := make(chan error, 1)
	t.calls <- func() { result <- call() }
	return <-result
}

func (t *startThread) loop() {
	runtime.LockOSThread()
	for call := range t.calls {
		call()
	}
}
