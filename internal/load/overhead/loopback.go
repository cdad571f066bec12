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

// loopbackCost returns the processor time that this machine takes for one small
// message over a loopback connection to a reader that waits for it, in
// microseconds. It is the least that a token event costs at each hop when it
// comes alone.
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
	go drain(reader)
	pauses := spent(func() error { return nil })
	message := make([]byte, loopbackBytes)
	var failed error
	messages := spent(func() error {
		_, err := writer.Write(message)
		failed = err
		return err
	})
	return microseconds(messages-pauses) / loopbackMessages, failed
}

func drain(conn net.Conn) {
	buffer := make([]byte, loopbackBytes)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// spent returns the processor time of the process while it does something many
// times, with pauses.
func spent(do func() error) time.Duration {
	before := ownProcessorTime()
	for range loopbackMessages {
		if do() != nil {
			break
		}
		time.Sleep(loopbackPause)
	}
	return ownProcessorTime() - before
}

func ownProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
