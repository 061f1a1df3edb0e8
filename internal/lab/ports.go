package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// Ports of labs lie below those that the kernel gives to outgoing connections and to
// listeners without a port, so that none of these can take a port before the process
// that it is meant for starts, or while that process is down.
const (
	firstPort = 12000
	lastPort  = 28000
)

// ports reserves ports of the loopback interface until release. A locked file for each
// port keeps labs of other processes off it.
type ports struct {
	locks []*os.File
}

// next reserves a free port and returns its address.
func (p *ports) next() (string, error) {
	folder := filepath.Join(os.TempDir(), "camphorpaddle-lab-ports")
	if err := os.MkdirAll(folder, 0o777); err != nil {
		return "", trace.ConvertSystemError(err)
	}
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		lock, err := lockFile(filepath.Join(folder, fmt.Sprint(port)))
		if err != nil {
			return "", err
		}
		if lock == nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !isFree(address) {
			_ = lock.Close()
			continue
		}
		p.locks = append(p.locks, lock)
		return address, nil
	}
	return "", trace.LimitExceeded("no port between %d and %d is free", firstPort, lastPort)
}

// lockFile opens and locks a file. It returns nil if another process or lab has locked it.
func lockFile(name string) (*os.File, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		if err == syscall.EWOULDBLOCK {
			return nil, nil
		}
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

func isFree(address string) bool {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return lis.Close() == nil
}

// release unlocks the ports, once no process uses them.
func (p *ports) release() {
	for _, lock := range p.locks {
		_ = lock.Close() // ends the lock
	}
	p.locks = nil
}
