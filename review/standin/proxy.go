package main

import (
	"context"
	"net"
	"sync"
	"time"
)

type (
	// proxy forwards connections to one process. Connections that it has silenced stay open, and nothing is
	// forwarded on them any more in either direction.
	proxy struct {
		listener net.Listener
		target   string

		mu    sync.Mutex
		links map[*link]bool
	}

	link struct {
		from, to net.Conn
		silent   chan struct{}
		once     sync.Once
	}
)

// newProxy listens at an address and forwards to a target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(from)
		}
	}()
	return p, nil
}

func (p *proxy) forward(from net.Conn) {
	defer from.Close()
	to, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return // the process is down
	}
	defer to.Close()
	l := &link{from: from, to: to, silent: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go l.copy(to, from, done)
	go l.copy(from, to, done)
	<-done
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy forwards one direction. An end of a silenced connection closes neither side of it.
func (l *link) copy(to, from net.Conn, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			break
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	done <- struct{}{}
}

// silence silences all open connections and returns their number. Later ones are forwarded.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.once.Do(func() { close(l.silent) })
	}
	return len(p.links)
}
