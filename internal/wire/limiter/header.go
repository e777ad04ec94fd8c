package limiter

// headerScan counts the bytes and lines of a request's line and headers as they are read.
type headerScan struct {
	bytes, lines int
	lineBytes    int  // of the present line, without carriage returns
	ended        bool // an empty line was read; the body or another request follows
}

const (
	// freeHeaderBytes are not charged to the budget: they fit into the buffer of the connection.
	freeHeaderBytes = 4 << 10

	// headerCopies is how often large headers are held at a time: a line is copied as it grows.
	headerCopies = 2

	// lineCost is charged for each line: net/textproto takes 90 to 200 bytes in its map for a line of 5 bytes.
	lineCost = 256

	// freeLines are not charged, so that ordinary requests pass while the budget is used up. A header may have these, and a line for each bytesPerLine of its limit. Ordinary headers have 10 to 30 lines of
	// about 40 bytes.
	freeLines    = 32
	bytesPerLine = 16
)

// add counts what was read, up to the end of the headers.
func (s *headerScan) add(p []byte) {
	for _, b := range p {
		if s.ended {
			return
		}
		s.bytes++
		switch b {
		case '\n':
			s.lines++
			s.ended = s.lineBytes == 0
			s.lineBytes = 0
		case '\r':
		default:
			s.lineBytes++
		}
	}
}

// exceeds reports whether the headers are so far above a limit that their connection is closed. Those below get a response.
func (s *headerScan) exceeds(limit int) bool {
	return s.bytes > 2*limit+freeHeaderBytes || s.lines > freeLines+limit/bytesPerLine
}

// cost returns the memory that the headers take, at most.
func (s *headerScan) cost() int64 {
	return int64(headerCopies*max(0, s.bytes-freeHeaderBytes) + lineCost*max(0, s.lines-freeLines))
}
