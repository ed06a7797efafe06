package sock

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// pattern returns the bytes from at on of an endless sequence that does not repeat soon.
func pattern(at, n int) []byte {
	p := make([]byte, n)
	for i := range p {
		k := at + i
		p[i] = byte(k ^ k>>8*31 ^ k>>16*17)
	}
	return p
}

// Guards against bytes that are lost, repeated or out of order, and against a count of written
// bytes that is not that of the bytes at the peer, where deadlines pass within writes, watches
// begin and end between them, and another goroutine aborts one.
func TestWritesKeepTheirBytes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w, far := writerTo(t)
			random := rand.New(rand.NewPCG(seed, 1))
			received := make(chan []byte)
			go func() {
				random := rand.New(rand.NewPCG(seed, 2))
				var all []byte
				buf := make([]byte, 32<<10)
				for {
					if random.IntN(3) == 0 {
						time.Sleep(time.Duration(random.IntN(int(seed%4)*60+5)) * time.Millisecond)
					}
					n, err := far.Read(buf[:1+random.IntN(len(buf))])
					all = append(all, buf[:n]...)
					if err != nil {
						break
					}
				}
				received <- all
			}()
			if seed%3 == 0 {
				time.AfterFunc(time.Duration(500+random.IntN(1000))*time.Millisecond, w.AbortWrites)
			}
			written, failed := 0, false
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until) && !failed; {
				switch random.IntN(8) {
				case 0:
					w.Watch(&WriteWatch{Renewal: time.Duration(random.IntN(800)) * time.Millisecond, Until: until})
				case 1:
					w.Watch(nil)
				}
				_ = w.SetDeadline(time.Now().Add(time.Duration(20+random.IntN(600)) * time.Millisecond))
				size := 1 + random.IntN(6_000)
				if random.IntN(6) == 0 {
					size = random.IntN(300_000)
				}
				n, err := w.Write(pattern(written, size))
				written += n
				if (err == nil) != (n == size) {
					t.Errorf("write of %d bytes: got %d and error %v", size, n, err)
				}
				failed = err != nil
			}
			_ = w.Conn.CloseWrite()
			got := <-received
			if want := pattern(0, written); string(got) != string(want) {
				t.Errorf("the peer has %d bytes, want the %d bytes written, in order", len(got), written)
			}
			t.Logf("%d bytes, ended by an error: %t", written, failed)
		})
	}
}
