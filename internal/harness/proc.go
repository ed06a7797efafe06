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
	// maxLogBytes of a process's output are kept.
	maxLogBytes = 64 << 10
	// killTimeout bounds the wait for a killed process.
	killTimeout = 10 * time.Second
)

// Proc is one of the project's programs running as a process.
type Proc struct {
	// Name tells the process apart in logs.
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

// start starts the process; first gets the first line of its standard output.
func (p *Proc) start() (first <-chan string, err error) {
	cmd := exec.Command(p.path, p.args...)
	// The kernel ends the process should this one die.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = p.log
	out, err := cmd.StdoutPipe()
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
		p.read(out, line)
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(exited)
	})
	return line, nil
}

func (p *Proc) read(out io.Reader, first chan<- string) {
	defer close(first)
	reader := bufio.NewReader(out)
	line, _ := reader.ReadString('\n')
	first <- line
	_, _ = io.WriteString(p.log, line)
	_, _ = io.Copy(p.log, reader)
}

// signal sends a signal; it does nothing where the process has ended.
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

// Resume lets a frozen process go on.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Proc) Terminate() { p.signal(syscall.SIGTERM) }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Proc) Kill() error {
	p.signal(syscall.SIGKILL)
	_, err := p.Wait(killTimeout)
	return err
}

// Wait waits for the end of the process and returns its exit code, -1 where a
// signal ended it; an error where it still runs after the timeout.
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
		return 0, errors.Newf("%s still runs after %s", p.Name, timeout)
	}
}

// IsRunning says whether the process runs.
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

// PID returns the process id.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns the end of the process's output.
func (p *Proc) Log() string { return p.log.String() }

// tailBuffer keeps the end of what is written to it.
type tailBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (t *tailBuffer) Write(data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf.Write(data)
	if over := t.buf.Len() - maxLogBytes; over > 0 {
		t.buf.Next(over)
	}
	return len(data), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.String()
}

// starter starts processes from one thread that never ends, since the death
// of the starting thread counts as that of the parent.
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
