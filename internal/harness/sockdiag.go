package harness

import (
	"bytes"
	"encoding/binary"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// sockDiagByFamily is the type of a request for sockets, SOCK_DIAG_BY_FAMILY.
	sockDiagByFamily = 20
	// anySocketState selects sockets of all states.
	anySocketState = ^uint32(0)
	// noCookie stands for any socket cookie, INET_DIAG_NOCOOKIE.
	noCookie = ^uint32(0)
)

// socketID is struct inet_diag_sockid of the kernel. Ports and addresses are in network
// byte order.
type socketID struct {
	LocalPort, RemotePort [2]byte
	Local, Remote         [16]byte
	Interface             uint32
	Cookie                [2]uint32
}

// socketRequest is struct inet_diag_req_v2 of the kernel.
type socketRequest struct {
	Family, Protocol, Extensions, _ uint8
	States                          uint32
	ID                              socketID
}

// socketInfo is struct inet_diag_msg of the kernel.
type socketInfo struct {
	Family, State, Timer, Retransmits uint8
	ID                                socketID
	Expires, ReadQueue, WriteQueue    uint32
	UID, Inode                        uint32
}

// errNoSocket is returned for a connection that has no socket on this side.
var errNoSocket = errors.New("no such socket")

// diagSocketInode returns the inode of the TCP socket with the given two IPv4 ends. The
// kernel finds it by a hash of the ends, so that the time does not depend on the number
// of sockets.
func diagSocketInode(local, remote *net.TCPAddr) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, syscall.NETLINK_INET_DIAG)
	if err != nil {
		return 0, errors.Wrap(err, "open a netlink socket")
	}
	defer func() { _ = syscall.Close(fd) }()
	request, err := encodeSocketRequest(local, remote)
	if err != nil {
		return 0, err
	}
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, errors.Wrap(err, "request a socket")
	}
	// The kernel queues the response before Sendto returns.
	buf := make([]byte, syscall.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, buf, syscall.MSG_DONTWAIT)
	if err != nil {
		return 0, errors.Wrap(err, "receive a socket")
	}
	return decodeSocketInode(buf[:n])
}

func encodeSocketRequest(local, remote *net.TCPAddr) ([]byte, error) {
	request := socketRequest{Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP, States: anySocketState}
	id := &request.ID
	id.Cookie = [2]uint32{noCookie, noCookie}
	binary.BigEndian.PutUint16(id.LocalPort[:], uint16(local.Port))
	binary.BigEndian.PutUint16(id.RemotePort[:], uint16(remote.Port))
	copy(id.Local[:], local.IP.To4())
	copy(id.Remote[:], remote.IP.To4())
	header := syscall.NlMsghdr{
		Len:   uint32(syscall.SizeofNlMsghdr + binary.Size(request)),
		Type:  sockDiagByFamily,
		Flags: syscall.NLM_F_REQUEST,
	}
	var out bytes.Buffer
	for _, part := range []any{header, request} {
		if err := binary.Write(&out, binary.NativeEndian, part); err != nil {
			return nil, errors.Wrap(err, "encode the request of a socket")
		}
	}
	return out.Bytes(), nil
}

func decodeSocketInode(response []byte) (uint32, error) {
	messages, err := syscall.ParseNetlinkMessage(response)
	if err != nil || len(messages) == 0 {
		return 0, errors.Newf("response of %d bytes is no netlink message", len(response))
	}
	message := messages[0]
	reader := bytes.NewReader(message.Data)
	if message.Header.Type == syscall.NLMSG_ERROR {
		var code int32
		if err := binary.Read(reader, binary.NativeEndian, &code); err != nil {
			return 0, errors.Wrap(err, "decode the error of a socket request")
		}
		if syscall.Errno(-code) == syscall.ENOENT {
			return 0, errNoSocket
		}
		return 0, errors.Wrap(syscall.Errno(-code), "find a socket")
	}
	var info socketInfo
	if err := binary.Read(reader, binary.NativeEndian, &info); err != nil {
		return 0, errors.Wrap(err, "decode a socket")
	}
	if info.Inode == 0 {
		return 0, errNoSocket
	}
	return info.Inode, nil
}
