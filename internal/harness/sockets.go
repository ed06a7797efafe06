package harness

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
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
	localTCP, ok := tcp4Address(local)
	if !ok {
		return "", false
	}
	remoteTCP, ok := tcp4Address(remote)
	if !ok {
		return "", false
	}
	inode, err := diagSocketInode(localTCP, remoteTCP)
	if err == nil {
		return strconv.FormatUint(uint64(inode), 10), true
	}
	if errors.Is(err, errNoSocket) {
		return "", false
	}
	return scanSocketInode(localTCP, remoteTCP)
}

func tcp4Address(a net.Addr) (*net.TCPAddr, bool) {
	tcp, ok := a.(*net.TCPAddr)
	return tcp, ok && tcp.IP.To4() != nil
}

// scanSocketInode finds a socket where the kernel does not answer requests for single
// sockets. It reads the table of all sockets, and may miss the socket while others change.
// A closed connection that the kernel still keeps has inode 0.
func scanSocketInode(local, remote *net.TCPAddr) (string, bool) {
	wantLocal, wantRemote := procNetAddress(local), procNetAddress(remote)
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = table.Close() }()
	scanner := bufio.NewScanner(table)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > inodeField && fields[localField] == wantLocal && fields[remoteField] == wantRemote {
			return fields[inodeField], fields[inodeField] != "0"
		}
	}
	return "", false
}

// procNetAddress returns an IPv4 address in the format of /proc/net/tcp.
func procNetAddress(tcp *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(tcp.IP.To4()), tcp.Port)
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
