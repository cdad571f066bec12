package overhead

import (
	"net"
	"syscall"
	"time"
)

const (
	loopbackMessages = 1000
	loopbackBytes    = 100
	loopbackPause    = time.Millisecond
)

// loopbackCost returns the processor time that this machine needs to send one small
// message over a loopback connection to a reader that waits for it, in
// microseconds. A token event that arrives alone costs at least this much at each
// hop.
func loopbackCost() (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	writer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = writer.Close() }()
	reader, err := listener.Accept()
	if err != nil {
		return 0, err
	}
	defer func() { _ = reader.Close() }()
	go discardInput(reader)
	baselineTime := processorTimeOf(func() error { return nil })
	message := make([]byte, loopbackBytes)
	var writeErr error
	messageTime := processorTimeOf(func() error {
		_, err := writer.Write(message)
		writeErr = err
		return err
	})
	return microseconds(messageTime-baselineTime) / loopbackMessages, writeErr
}

// discardInput reads conn until it fails.
func discardInput(conn net.Conn) {
	buffer := make([]byte, loopbackBytes)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// processorTimeOf calls f loopbackMessages times with a pause after each call, and
// returns the processor time that this process used meanwhile. It stops at the first
// error of f.
func processorTimeOf(f func() error) time.Duration {
	before := ownProcessorTime()
	for range loopbackMessages {
		if f() != nil {
			break
		}
		time.Sleep(loopbackPause)
	}
	return ownProcessorTime() - before
}

// ownProcessorTime returns the user and system time of this process, 0 if it cannot
// be read.
func ownProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
