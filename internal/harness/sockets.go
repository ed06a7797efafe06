package harness

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// inodeField is the column of the inode in /proc/net/tcp.
const inodeField = 9

// socketInode returns the inode of the local TCP socket with an address.
func socketInode(addr net.Addr) (string, bool) {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return "", false
	}
	want := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(tcp.IP.To4()), tcp.Port)
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = table.Close() }()
	scanner := bufio.NewScanner(table)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > inodeField && fields[1] == want {
			return fields[inodeField], true
		}
	}
	return "", false
}

// holdsSocket says whether one of the harness's own processes holds a socket.
func holdsSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		link, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err == nil && link == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
