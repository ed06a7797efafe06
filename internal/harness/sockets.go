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

// Indexes of the fields of a line in /proc/net/tcp.
const (
	localField  = 1
	remoteField = 2
	inodeField  = 9
)

// socketInode returns the inode of the local TCP socket with the given two ends.
// Both ends are needed: the kernel assigns one local port to several connections
// whose remote ends differ.
func socketInode(local, remote net.Addr) (string, bool) {
	wantLocal, ok := procNetAddress(local)
	if !ok {
		return "", false
	}
	wantRemote, ok := procNetAddress(remote)
	if !ok {
		return "", false
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = table.Close() }()
	scanner := bufio.NewScanner(table)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > inodeField && fields[localField] == wantLocal && fields[remoteField] == wantRemote {
			return fields[inodeField], true
		}
	}
	return "", false
}

// procNetAddress returns an IPv4 address in the format of /proc/net/tcp.
func procNetAddress(a net.Addr) (string, bool) {
	tcp, ok := a.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return "", false
	}
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(tcp.IP.To4()), tcp.Port), true
}

// holdsSocket reports whether a process holds the socket with the given inode.
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
