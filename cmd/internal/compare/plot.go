package compare

import (
	"cmp"
	"image/color"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	pictureWidth  = 16 * vg.Inch
	pictureHeight = 6 * vg.Inch
)

// Plot writes a picture (PNG) with two diagrams. The left one shows the response time over the ideal by load, with a
// line for each deployment and policy. The right one shows the response time against the wasted messages, with a
// point for each run.
func Plot(path string, rows []Row) error {
	loads, err := plotLoads(rows)
	if err != nil {
		return err
	}
	tradeoff, err := plotTradeoff(rows)
	if err != nil {
		return err
	}
	canvas := vgimg.New(pictureWidth, pictureHeight)
	page := draw.New(canvas)
	half := pictureWidth / 2
	loads.Draw(draw.Crop(page, 0, -half, 0, 0))
	tradeoff.Draw(draw.Crop(page, half, 0, 0, 0))
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	defer file.Close()
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(file)
	return errors.Wrap(err, "plot")
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.BackgroundColor = color.White
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

func plotLoads(rows []Row) (*plot.Plot, error) {
	p := newPlot("Response over the clairvoyant ideal", "load (share of all slots)", "mean response over ideal")
	for i, name := range series(rows) {
		var points plotter.XYs
		for _, r := range rows {
			if seriesOf(r) == name && r.Disturbed {
				points = append(points, plotter.XY{X: r.Load, Y: r.Service().Ratio.Mean})
			}
		}
		if len(points) == 0 {
			continue
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, errors.Wrap(err, "plot")
		}
		line.Color, marks.Color, marks.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(name, line, marks)
	}
	return p, nil
}

func plotTradeoff(rows []Row) (*plot.Plot, error) {
	p := newPlot("Response time against wasted messages, all loads", "wasted messages (% of those to endpoints)", "mean response over ideal")
	for i, name := range series(rows) {
		var points plotter.XYs
		for _, r := range rows {
			if seriesOf(r) == name && r.Disturbed {
				points = append(points, plotter.XY{X: 100 * r.Report.Messages.WastedShare(), Y: r.Service().Ratio.Mean})
			}
		}
		if len(points) == 0 {
			continue
		}
		marks, err := plotter.NewScatter(points)
		if err != nil {
			return nil, errors.Wrap(err, "plot")
		}
		marks.Color, marks.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(marks)
		p.Legend.Add(name, marks)
	}
	return p, nil
}

func seriesOf(r Row) string { return r.Deployment + ", " + r.Policy }

// series returns the names of the series in the order in which they first occur.
func series(rows []Row) (names []string) {
	for _, r := range rows {
		if name := seriesOf(r); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
