/** Renders line charts as SVG text. */

/** One line of a chart, with its points as [x, y]. */
export type ChartSeries = { name: string; points: readonly (readonly [number, number])[]; };

export type Chart = {
    title: string;
    xLabel: string;
    yLabel: string;
    series: ChartSeries[];
    /** Vertical lines, such as at the time of a change. */
    marks?: { x: number; name: string; }[];
};

const width = 860;
const height = 360;
const margin = { left: 70, right: 170, top: 40, bottom: 50 };
const colours = ["#1b6ca8", "#c8553d", "#2e7d32", "#7b1fa2", "#8d6e00", "#455a64"];
const gridLines = 5;

const escapeText = (text: string): string =>
    text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");

const rounded = (value: number): string => String(Math.round(value * 100) / 100);

/** Renders `chart` as an SVG document; both axes start at 0. */
export const drawChart = (chart: Chart): string => {
    const points = chart.series.flatMap(series => series.points);
    const maximumX = Math.max(...points.map(([x]) => x), ...(chart.marks ?? []).map(mark => mark.x), 1e-9);
    const maximumY = Math.max(...points.map(([, y]) => y), 1e-9);
    const toX = (x: number) => margin.left + x / maximumX * (width - margin.left - margin.right);
    const toY = (y: number) => height - margin.bottom - y / maximumY * (height - margin.top - margin.bottom);
    const label = (x: number, y: number, text: string, anchor = "start", colour = "#222") =>
        `<text x="${rounded(x)}" y="${rounded(y)}" text-anchor="${anchor}" fill="${colour}">${escapeText(text)}</text>`;

    const grid = [...Array(gridLines + 1).keys()].flatMap(line => {
        const x = maximumX * line / gridLines;
        const y = maximumY * line / gridLines;
        return [
            `<path d="M${margin.left} ${rounded(toY(y))}H${width - margin.right}" stroke="#ddd"/>`,
            label(margin.left - 6, toY(y) + 4, rounded(y), "end"),
            label(toX(x), height - margin.bottom + 18, rounded(x), "middle"),
        ];
    });
    const lines = chart.series.flatMap((series, index) => {
        const colour = colours[index % colours.length] ?? "#222";
        const path = series.points.map(([x, y]) => `${rounded(toX(x))} ${rounded(toY(y))}`).join("L");
        return [
            ...(path === "" ? [] : [`<path d="M${path}" fill="none" stroke="${colour}" stroke-width="1.6"/>`]),
            label(width - margin.right + 8, margin.top + 14 + index * 18, series.name, "start", colour),
        ];
    });
    const marks = (chart.marks ?? []).flatMap(mark => [
        `<path d="M${rounded(toX(mark.x))} ${margin.top}V${
            height - margin.bottom
        }" stroke="#888" stroke-dasharray="4"/>`,
        label(toX(mark.x) + 3, margin.top + 10, mark.name, "start", "#666"),
    ]);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif"`
        + ` font-size="12">`,
        `<rect width="100%" height="100%" fill="#fff"/>`,
        label(margin.left, 22, chart.title),
        label(width / 2 - margin.right / 2, height - 10, chart.xLabel, "middle"),
        label(10, margin.top - 8, chart.yLabel),
        ...grid,
        ...marks,
        ...lines,
        "</svg>",
        "",
    ].join("\n");
};
