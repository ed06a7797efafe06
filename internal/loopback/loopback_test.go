package loopback

import (
	"net"
	"testing"
)

// Guards against reserved addresses being lost to other listeners. The kernel
// assigns any free port to listeners and connections, so that a port reserved on
// a shared IP address can be taken before its program starts.
func TestReservedAddressesStayFree(t *testing.T) {
	const pools, each, others = 4, 50, 2000
	var reserved []string
	seen := map[string]bool{}
	for range pools {
		p := NewPool()
		for range 2 {
			addresses, err := p.Reserve(each)
			if err != nil {
				t.Fatal(err)
			}
			reserved = append(reserved, addresses...)
		}
	}
	for range others {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	for _, address := range reserved {
		if seen[address] {
			t.Errorf("address %s was reserved twice", address)
		}
		seen[address] = true
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("listen on reserved address: %v", err)
			continue
		}
		defer l.Close()
	}
}
