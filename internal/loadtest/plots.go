package loadtest

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// PlottedFigures are the figures that are drawn.
func PlottedFigures() []string {
	return []string{figLeaderCPU, figFollowerCPU, figLeaderMemory, figLeaderSockets, figStateWrites, figWorkerBytes}
}

// drawTiles writes plots in rows and columns as a PNG.
func drawTiles(path string, rows, columns int, width, height vg.Length, tile func(i int) (*plot.Plot, error)) error {
	canvas := vgimg.New(vg.Length(columns)*width, vg.Length(rows)*height)
	area := draw.New(canvas)
	tiles := draw.Tiles{Rows: rows, Cols: columns, PadX: vg.Millimeter, PadY: vg.Millimeter}
	for i := range rows * columns {
		p, err := tile(i)
		if err != nil {
			return err
		}
		if p != nil {
			p.Draw(tiles.At(area, i%columns, i/columns))
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("picture: %w", err)
	}
	defer f.Close()
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(f); err != nil {
		return fmt.Errorf("picture: %w", err)
	}
	return f.Close()
}
