package relay

import (
	"fmt"
	"testing"
)

// BenchmarkAnswerOrder measures one call of a process in which others wait: queries and submissions, the oldest ones open.
func BenchmarkAnswerOrder(b *testing.B) {
	for _, open := range []int{10, 500, 5000} {
		for _, submits := range []bool{false, true} {
			b.Run(fmt.Sprintf("open=%d/submits=%t", open, submits), func(b *testing.B) {
				o := newAnswerOrder()
				o.learn(3)
				for i := range open {
					call := o.arrive()
					if i%2 == 0 {
						o.propose(call)
					}
				}
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						call := o.arrive()
						if submits {
							o.propose(call)
							o.settle(call, 3, 0)
						} else {
							o.learn(3)
							o.admit(call, 3, 1)
						}
						o.leave(call)
					}
				})
			})
		}
	}
}
