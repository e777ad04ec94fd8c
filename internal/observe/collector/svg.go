package collector

import (
	"fmt"
	"html"
	"io"
	"slices"
	"strings"

	"github.com/jaygw/jaygw"
)

// Layout of the page, in pixels.
const (
	pageWidth  = 1600
	laneHeight = 28
	nameWidth  = 180
	topMargin  = 40
	markRadius = 4
)

var kindColors = map[jaygw.EventKind]string{
	jaygw.EventLeader: "#7a3db8", jaygw.EventDocument: "#1f6fb2", jaygw.EventDomain: "#c03030",
	jaygw.EventVM: "#8a6d1f", jaygw.EventGrant: "#2a8f4a", jaygw.EventTask: "#4aa3a3",
	jaygw.EventEvict: "#d9822b", jaygw.EventRequest: "#555555",
}

// WriteSVG writes the time line as a standalone SVG page with one lane for each process. The title
// of each mark describes its event.
func (t Timeline) WriteSVG(w io.Writer) error {
	lanes := map[string]int{}
	var names []string
	for _, e := range t.Events {
		names = append(names, e.Process)
	}
	names = append(names, t.Unreachable...)
	slices.Sort(names)
	names = slices.Compact(names)
	for i, name := range names {
		lanes[name] = topMargin + i*laneHeight + laneHeight/2
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		pageWidth, topMargin+len(names)*laneHeight+laneHeight)
	for _, name := range names {
		label := name
		if slices.Contains(t.Unreachable, name) {
			label += " (unreachable)"
		}
		fmt.Fprintf(&b, `<text x="4" y="%d">%s</text><line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#cccccc"/>`+"\n",
			lanes[name]+markRadius, html.EscapeString(label), nameWidth, lanes[name], pageWidth-markRadius, lanes[name])
	}
	t.writeMarks(&b, lanes)
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (t Timeline) writeMarks(b *strings.Builder, lanes map[string]int) {
	if len(t.Events) == 0 {
		return
	}
	first, last := t.Events[0].Clock.Wall, t.Events[len(t.Events)-1].Clock.Wall
	fmt.Fprintf(b, `<text x="%d" y="20">%s to %s</text>`+"\n", nameWidth,
		first.Std().Format("2006-01-02 15:04:05.000"), last.Std().Format("15:04:05.000"))
	span := max(1, last-first)
	for _, e := range t.Events {
		x := nameWidth + int(float64(e.Clock.Wall-first)/float64(span)*float64(pageWidth-nameWidth-2*markRadius))
		color, ok := kindColors[e.Kind]
		if !ok {
			color = "#222222"
		}
		title := fmt.Sprintf("%s %s %s: %s", e.Clock.Wall.Std().Format("15:04:05.000000"), e.Kind, strings.Join(e.Subjects, " "), e.Cause)
		fmt.Fprintf(b, `<circle cx="%d" cy="%d" r="%d" fill="%s"><title>%s</title></circle>`+"\n",
			x, lanes[e.Process], markRadius, color, html.EscapeString(title))
	}
}
