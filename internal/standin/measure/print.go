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

// divided divides the number of a "key = number" line, to at least 1.
func divided(line string, by int) string {
	key, value, _ := strings.Cut(line, " = ")
	number, err := strconv.Atoi(value)
	if err != nil {
		return line
	}
	return fmt.Sprintf("%s = %d", key, max(1, number/by))
}

// Print writes the rows of one scenario as a table.
func Print(out io.Writer, rows []*Result) error {
	if len(rows) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	first := rows[0]
	fmt.Fprintf(w, "%s, %s, seed %d, %d s, catalogue stretched by %d\n", first.Firm, first.Scenario, first.Seed, first.Seconds, first.Stretch)
	fmt.Fprintln(w, "POLICY\tOVER P50 MS\tOVER P99 MS\tP99/FLOOR P99\tFREE SLOTS\tFREE LINK\tDRAIN MS\tWORST WORKSPACE\tREFUSED INSIDE\tOPEN\tUPLOADS KEPT\tORDERS DOUBLED\tRETRIES\tIN TIME\tCORES\tLAG P99 MS\tSTORE W/S")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.2f\t%.1f%%\t%.1f%%\t%s\t%.1f%%\t%d\t%.1f%%\t%d/%d\t%d/%d\t%.1f%%\t%d/%d\t%.1f\t%.1f\t%d\n",
			row.Policy, millis(row.Latency.OverP50), millis(row.Latency.OverP99), ratio(row.Latency.P99, row.Latency.FloorP99),
			row.MinFreeSlotShare*100, row.MinFreeLinkShare*100, drainText(row), row.WorstServedShare*100, row.RefusedWithinRate, row.PublicServedShare*100,
			row.UploadsStored, row.UploadsSent, row.OrdersDuplicated, row.OrdersSent, row.PeakRetryShare*100, row.InTime, row.Sent,
			row.Cores, millis(row.TimerLagP99), row.PeakStoreWrites)
	}
	for _, row := range rows {
		fmt.Fprintf(w, "%s: catalogue p99 %.2f, orders p99 %.2f of the floor's; worst %s/%s; least slots %s; least link %s; %s %s\n", row.Policy,
			ratio(row.Catalogue.P99, row.Catalogue.FloorP99), ratio(row.Orders.P99, row.Orders.FloorP99),
			row.WorstWorkspace.Service, row.WorstWorkspace.Workspace, row.MinFreeSlotGroup, row.MinFreeLink, reasonsText(row.Reasons), strings.Join(row.Notes, "; "))
	}
	for _, row := range rows {
		if row.OutageWorstShare >= 0 {
			fmt.Fprintf(w, "%s: while a region was lost: worst workspace %.1f%% of its requests in time, bound %.1f%% (%s/%s)\n", row.Policy,
				row.OutageWorstShare*100, row.OutageShareBound*100, row.OutageWorstWorkspace.Service, row.OutageWorstWorkspace.Workspace)
		}
		if row.NewVersionShareAfterDeadline >= 0 {
			fmt.Fprintf(w, "%s: the new version ran %d, failed %d, and has %.1f%% after the move's time\n", row.Policy, row.NewVersionRuns, row.NewVersionFailed, row.NewVersionShareAfterDeadline*100)
		}
		fmt.Fprintf(w, "%s: %% in time by second %s\n", row.Policy, secondsText(row.InTimeShares))
	}
	return w.Flush()
}

func secondsText(shares []float64) string {
	var parts []string
	for _, share := range shares {
		parts = append(parts, fmt.Sprintf("%.0f", share*100))
	}
	return strings.Join(parts, " ")
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func drainText(row *Result) string {
	if row.DrainMs < 0 {
		return "-"
	}
	return strconv.FormatInt(int64(row.DrainMs), 10)
}

func reasonsText(reasons map[string]int) string {
	var parts []string
	for reason, count := range reasons {
		parts = append(parts, fmt.Sprintf("%s %d", reason, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// lineColors are the policies' colours, in their order.
var lineColors = []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}}

// Plot writes the percentiles of latency over the floor to a file.
func Plot(file string, rows []*Result) error {
	figure := plot.New()
	figure.Title.Text = rows[0].Firm + ", " + rows[0].Scenario
	figure.X.Label.Text = "percentile"
	figure.Y.Label.Text = "ms over the floor"
	for i, row := range rows {
		line, err := plotter.NewLine(percentiles(row))
		if err != nil {
			return err
		}
		line.Color = lineColors[i%len(lineColors)]
		figure.Add(line)
		figure.Legend.Add(row.Policy, line)
	}
	figure.Legend.Top, figure.Legend.Left = true, true
	return figure.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

func percentiles(row *Result) (points plotter.XYs) {
	for percent := 1.0; percent <= 99; percent++ {
		points = append(points, plotter.XY{X: percent, Y: millis(row.Latency.over.ValueAtQuantile(percent))})
	}
	return points
}
