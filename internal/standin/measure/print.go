package measure

import (
	"fmt"
	"image/color"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// divideSetting divides the number of a "key = number" line, rounding down but to
// no less than 1.
func divideSetting(line string, divisor int) string {
	key, value, _ := strings.Cut(line, " = ")
	number, err := strconv.Atoi(value)
	if err != nil {
		return line
	}
	return fmt.Sprintf("%s = %d", key, max(1, number/divisor))
}

// Print writes the results of one scenario as a table with one line for each
// policy, followed by details.
func Print(out io.Writer, results []*Result) error {
	if len(results) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	first := results[0]
	fmt.Fprintf(w, "%s, %s, seed %d, %d s, catalogue stretched by %d\n", first.Firm, first.Scenario, first.Seed, first.Seconds, first.Stretch)
	fmt.Fprintln(w, "POLICY\tOVER P50 MS\tOVER P99 MS\tP99/FLOOR P99\tFREE SLOTS\tFREE LINK\tDRAIN MS\tWORST WORKSPACE\tREFUSED INSIDE\tOPEN\tUPLOADS KEPT\tORDERS DOUBLED\tRETRIES\tIN TIME\tCORES\tLAG P99 MS\tSTORE W/S")
	for _, result := range results {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.2f\t%.1f%%\t%.1f%%\t%s\t%.1f%%\t%d\t%.1f%%\t%d/%d\t%d/%d\t%.1f%%\t%d/%d\t%.1f\t%.1f\t%d\n",
			result.Policy, toMillis(result.Latency.OverP50), toMillis(result.Latency.OverP99), ratio(result.Latency.P99, result.Latency.FloorP99),
			result.MinFreeSlotShare*100, result.MinFreeLinkShare*100, formatDrain(result), result.WorstServedShare*100, result.RefusedWithinRate, result.PublicServedShare*100,
			result.UploadsStored, result.UploadsSent, result.OrdersDuplicated, result.OrdersSent, result.PeakRetryShare*100, result.InTime, result.Sent,
			result.Cores, toMillis(result.TimerLagP99), result.PeakStoreWrites)
	}
	for _, result := range results {
		fmt.Fprintf(w, "%s: catalogue p99 %.2f, orders p99 %.2f of the floor's; worst %s/%s; least slots %s; least link %s; %s %s\n", result.Policy,
			ratio(result.Catalogue.P99, result.Catalogue.FloorP99), ratio(result.Orders.P99, result.Orders.FloorP99),
			result.WorstWorkspace.Service, result.WorstWorkspace.Workspace, result.MinFreeSlotGroup, result.MinFreeLink, formatReasons(result.Reasons), strings.Join(result.Notes, "; "))
	}
	for _, result := range results {
		if result.OutageWorstShare >= 0 {
			fmt.Fprintf(w, "%s: while a region was lost: worst workspace %.1f%% of its requests in time, bound %.1f%% (%s/%s)\n", result.Policy,
				result.OutageWorstShare*100, result.OutageShareBound*100, result.OutageWorstWorkspace.Service, result.OutageWorstWorkspace.Workspace)
		}
		if result.NewVersionShareAfterDeadline >= 0 {
			fmt.Fprintf(w, "%s: the new version ran %d, failed %d, and has %.1f%% after the move's time\n", result.Policy, result.NewVersionRuns, result.NewVersionFailed, result.NewVersionShareAfterDeadline*100)
		}
		fmt.Fprintf(w, "%s: %% in time by second %s\n", result.Policy, formatPercents(result.InTimeShares))
	}
	return w.Flush()
}

func formatPercents(shares []float64) string {
	var percents []string
	for _, share := range shares {
		percents = append(percents, fmt.Sprintf("%.0f", share*100))
	}
	return strings.Join(percents, " ")
}

func toMillis(micros int64) float64 { return float64(micros) / 1000 }

func ratio(numerator, denominator int64) float64 {
	if denominator == 0 {
		return 0
	}
	return float64(numerator) / float64(denominator)
}

func formatDrain(result *Result) string {
	if result.DrainMs < 0 {
		return "-"
	}
	return strconv.FormatInt(int64(result.DrainMs), 10)
}

func formatReasons(reasons map[string]int) string {
	var parts []string
	for reason, count := range reasons {
		parts = append(parts, fmt.Sprintf("%s %d", reason, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// lineColors holds the colours of the policies' lines in a plot, in their order.
var lineColors = []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}}

// Plot writes a plot of the percentiles of the latency over the floor to a file,
// with one line for each policy. The file name's extension selects the format.
func Plot(file string, results []*Result) error {
	figure := plot.New()
	figure.Title.Text = results[0].Firm + ", " + results[0].Scenario
	figure.X.Label.Text = "percentile"
	figure.Y.Label.Text = "ms over the floor"
	for i, result := range results {
		line, err := plotter.NewLine(percentiles(result))
		if err != nil {
			return err
		}
		line.Color = lineColors[i%len(lineColors)]
		figure.Add(line)
		figure.Legend.Add(result.Policy, line)
	}
	figure.Legend.Top, figure.Legend.Left = true, true
	return figure.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

// percentiles returns the points of Plot: the percentiles 1 to 99 of the latency over
// the floor, in milliseconds.
func percentiles(result *Result) (points plotter.XYs) {
	for percent := 1.0; percent <= 99; percent++ {
		points = append(points, plotter.XY{X: percent, Y: toMillis(result.Latency.overFloor.ValueAtQuantile(percent))})
	}
	return points
}
