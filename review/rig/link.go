package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy between a process and the store. While it is cut, its connections are reset and
// new ones are reset as well.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[*net.TCPConn]bool
}

func newLink(target string) *link {
	l := &link{listener: listen(), target: target, conns: make(map[*net.TCPConn]bool)}
	go func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c.(*net.TCPConn))
		}
	}()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// track adds a connection, unless the link is cut.
func (l *link) track(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		reset(c)
		return false
	}
	l.conns[c] = true
	return true
}

func (l *link) untrack(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			reset(c)
		}
	}
}

func (l *link) forward(in *net.TCPConn) {
	if !l.track(in) {
		return
	}
	defer l.untrack(in)
	raw, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	out := raw.(*net.TCPConn)
	if !l.track(out) {
		return
	}
	defer l.untrack(out)
	done := make(chan struct{}, 2)
	copyTo := func(to, from *net.TCPConn) {
		io.Copy(to, from)
		done <- struct{}{}
	}
	go copyTo(out, in)
	go copyTo(in, out)
	<-done
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
