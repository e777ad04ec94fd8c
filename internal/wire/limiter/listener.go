package limiter

import (
	"container/list"
	"net"
	"sync"
	"time"
)

type (
	// listener accepts connections up to a total and a number from one address.
	listener struct {
		net.Listener
		limiter           *Limiter
		class             Class
		total, perAddress int // 0 for no bound

		mu       sync.Mutex
		open     map[*limitedConn]struct{}
		byHost   map[string]int
		unserved *list.List // connections without a request so far, the oldest first
		idle     *list.List // connections between two requests, the one that has waited longest first
	}

	// place is the position of a connection that waits for a request.
	place struct {
		list    *list.List // nil while a request is handled
		element *list.Element
		since   time.Time
	}
)

// Connections without a request, and idle ones, make room for a new one from these ages on.
const (
	evictUnservedAfter = 250 * time.Millisecond
	evictIdleAfter     = time.Second
)

func newListener(l *Limiter, inner net.Listener, class Class) *listener {
	limited := &listener{
		Listener: inner, limiter: l, class: class, total: l.limits.Connections, perAddress: l.limits.PerAddress,
		open: map[*limitedConn]struct{}{}, byHost: map[string]int{}, unserved: list.New(), idle: list.New(),
	}
	if class == Probes {
		limited.total, limited.perAddress = l.limits.ProbeConnections, 0
	}
	return limited
}

// Accept accepts a connection. It closes those above the limits, or an older one that waits for a request.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &limitedConn{Conn: inner, listener: l, host: hostOf(inner)}
		conn.account = newAccount(conn)
		evicted, ok := l.add(conn, time.Now())
		if evicted != nil {
			l.limiter.count("evicted-connections", evicted.host)
			_ = evicted.Close() // the client may have closed it already
		}
		if ok {
			return conn, nil
		}
		l.limiter.count("refused-connections", conn.host)
		inner.Close()
	}
}

// add adds a connection if there is room, which one that waits for a request may have to make.
func (l *listener) add(conn *limitedConn, now time.Time) (evicted *limitedConn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fullAddress := l.perAddress > 0 && l.byHost[conn.host] >= l.perAddress
	if fullAddress || l.total > 0 && len(l.open) >= l.total {
		evicted = oldest(l.unserved, conn.host, fullAddress, now.Add(-evictUnservedAfter))
		if evicted == nil {
			evicted = oldest(l.idle, conn.host, fullAddress, now.Add(-evictIdleAfter))
		}
		if evicted == nil {
			return nil, false
		}
		l.drop(evicted)
	}
	l.open[conn] = struct{}{}
	l.byHost[conn.host]++
	l.setPlace(conn, l.unserved, now)
	if l.class != Probes {
		l.limiter.connections.Update(int64(len(l.open)))
	}
	return evicted, true
}

// oldest returns the connection that has waited for longest, since a time or longer, or nil. If sameHost is set, it is
// one from this address.
func oldest(waiting *list.List, host string, sameHost bool, since time.Time) *limitedConn {
	for e := waiting.Front(); e != nil; e = e.Next() {
		conn, _ := e.Value.(*limitedConn)
		if conn.place.since.After(since) {
			return nil
		}
		if !sameHost || conn.host == host {
			return conn
		}
	}
	return nil
}

// setBusy records that a request has arrived on a connection.
func (l *listener) setBusy(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setPlace(conn, nil, time.Time{})
}

// setIdle records that a connection waits for another request.
func (l *listener) setIdle(conn *limitedConn, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.open[conn]; found {
		l.setPlace(conn, l.idle, now)
	}
}

// setPlace moves a connection to the end of a list, or to none.
func (l *listener) setPlace(conn *limitedConn, waiting *list.List, now time.Time) {
	if conn.place.list != nil {
		conn.place.list.Remove(conn.place.element)
	}
	conn.place = place{}
	if waiting != nil {
		conn.place = place{waiting, waiting.PushBack(conn), now}
	}
}

// remove removes a connection that is closed.
func (l *listener) remove(conn *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(conn)
}

func (l *listener) drop(conn *limitedConn) {
	if _, found := l.open[conn]; !found {
		return
	}
	delete(l.open, conn)
	if l.byHost[conn.host]--; l.byHost[conn.host] == 0 {
		delete(l.byHost, conn.host)
	}
	l.setPlace(conn, nil, time.Time{})
	if l.class != Probes {
		l.limiter.connections.Update(int64(len(l.open)))
	}
}

func (l *listener) timing() timing { return l.limiter.timingOf(l.class) }

// bounded reports whether the settings of the process bound what clients take.
func (l *listener) bounded() bool { return l.total > 0 }

// hostOf returns the remote address of a connection without its port.
func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}
