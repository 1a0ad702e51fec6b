package connend

import "syscall"

const (
	// receiveBuffer is the size that is set for each connection's receive buffer, in bytes. With less the kernel drops
	// segments of answers that come in small parts, and with more it holds more of what nobody reads.
	receiveBuffer = 48 << 10
	// UnreadBytes is the most that the kernel holds unread of an answer: half as much again as the buffer's size.
	UnreadBytes = receiveBuffer * 3 / 2
)

// BoundUnread bounds what the kernel holds unread at a socket that is about to be connected, as a net.Dialer's Control.
func BoundUnread(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) // fails only for what is no socket
	})
}
