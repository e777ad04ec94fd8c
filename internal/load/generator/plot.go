package generator

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Layout of the plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 360
	plotMargin = 60
)

// plotQuantiles are the plotted percentiles.
var plotQuantiles = []float64{0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99}

// Plot writes the latency by percentile as SVG. Both axes are logarithmic: the horizontal one in
// the share of slower requests, the vertical one in the latency.
func (r Report) Plot(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	fmt.Fprintf(&b, `<text x="%d" y="20">latency by percentile, %.0f/s offered, goodput %.1f/s, refused %d</text>`+"\n",
		plotMargin, r.PerSecond, r.Goodput, r.Refused)
	minExponent := math.Floor(math.Log10(max(float64(latencyMin), float64(r.latency.Min()))))
	maxExponent := math.Max(minExponent+1, math.Ceil(math.Log10(max(1, float64(r.latency.Max())))))
	x := func(quantile float64) float64 {
		return plotMargin + math.Log10(100/(100-quantile))/4*(plotWidth-2*plotMargin)
	}
	y := func(nanos float64) float64 {
		return plotHeight - plotMargin - (math.Log10(max(nanos, 1))-minExponent)/(maxExponent-minExponent)*(plotHeight-2*plotMargin)
	}
	for exponent := minExponent; exponent <= maxExponent; exponent++ {
		position := y(math.Pow(10, exponent))
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="4" y="%.1f">%g ms</text>`+"\n",
			plotMargin, plotWidth-plotMargin, position, position, position+4, math.Pow(10, exponent-6))
	}
	var points []string
	for _, quantile := range plotQuantiles {
		position := x(quantile)
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" text-anchor="middle">%g</text>`+"\n", position, plotHeight-plotMargin/2, quantile)
		points = append(points, fmt.Sprintf("%.1f,%.1f", position, y(float64(max(r.latency.ValueAtQuantile(quantile), latencyMin)))))
	}
	fmt.Fprintf(&b, `<polyline points="%s" fill="none" stroke="#1f77b4" stroke-width="2"/>`+"\n</svg>\n", strings.Join(points, " "))
	_, err := io.WriteString(out, b.String())
	return err
}
