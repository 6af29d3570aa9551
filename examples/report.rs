//! Reports from the bench's journal where each site loses score.
//!
//! It also plots the worth of each site's days. `cargo run --release --example report -- journal`; plots go
//! to `target/report`.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, positional};
use plotters::prelude::*;
use serde::Deserialize;

/// Folder of the plots.
const PLOT_FOLDER: &str = "target/report";

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 480);

/// Number of prices printed for each site.
const PRICES_PER_SITE: usize = 5;

/// Journal entry of one bench run.
#[derive(Debug)]
#[derive(Deserialize)]
struct Entry {
    cmd: String,
    at: serde_json::Value,
    site: Option<String>,
    #[serde(default)]
    score: Option<f64>,
    #[serde(default)]
    days: Vec<Day>,
}

/// Result of one simulated day of a bench run.
#[derive(Debug)]
#[derive(Deserialize)]
struct Day {
    name: String,
    /// Worth of the day after prices.
    #[serde(rename = "G")]
    worth: f64,
    score: Option<f64>,
    served: f64,
    refused: f64,
    failed: f64,
    /// Parts of the worth as name, weight and value.
    #[serde(default)]
    parts: Vec<(String, f64, f64)>,
    /// Prices as name, amount and reduction of the worth.
    #[serde(default)]
    prices: Vec<(String, f64, f64)>,
}

impl Day {
    /// Returns the part that loses most, with the worth that it loses.
    fn largest_loss(&self) -> Option<(&str, f64)> {
        let losses = self.parts.iter().map(|(name, weight, value)| (name.as_str(), weight * (1.0 - value)));
        losses.max_by(|one, other| one.1.total_cmp(&other.1))
    }
}

/// Reads the scores of a journal by site, oldest first.
fn read_scores(journal: &Path) -> Result<BTreeMap<String, Vec<Entry>>, Box<dyn Error>> {
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(journal)?.map(|file| file.map(|file| file.path())).collect::<Result<_, _>>()?;
    files.retain(|file| file.extension().is_some_and(|extension| extension == "json"));
    files.sort();
    let mut sites: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
    for file in files {
        let entry: Entry = match serde_json::from_slice(&std::fs::read(&file)?) {
            Ok(entry) => entry,
            Err(error) => {
                eprintln!("report: skipping unreadable {}: {error}", file.display());
                continue;
            }
        };
        if let (true, Some(site)) = (entry.cmd == "score", entry.site.clone()) {
            sites.entry(site).or_default().push(entry);
        }
    }
    Ok(sites)
}

/// Prints the latest score of a site, with its worst days first.
///
/// The largest prices follow.
fn print_site(site: &str, entry: &Entry) {
    let score = entry.score.map_or_else(|| "none".into(), |score| format!("{score:.3}"));
    println!("\n## {site}: {score}, {}\n", entry.at);
    println!("| day | score | worth | served | refused | failed | largest loss |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut days: Vec<&Day> = entry.days.iter().collect();
    let rank = |day: &Day| (day.score.unwrap_or(1.0), day.worth);
    days.sort_by(|one, other| rank(one).partial_cmp(&rank(other)).unwrap_or(std::cmp::Ordering::Equal));
    for day in &days {
        let score = day.score.map_or_else(|| "-".into(), |score| format!("{score:.2}"));
        let (part, loss) = day.largest_loss().unwrap_or(("nothing", 0.0));
        let Day { name, worth, served, refused, failed, .. } = day;
        println!(
            "| {name} | {score} | {worth:.3} | {served:.3} | {refused:.3} | {failed:.3} | {part}, {loss:.3} |"
        );
    }
    print_prices(&days);
    if let Some(weakest) = days.first() {
        println!("\nworst day: {}", weakest.name);
    }
}

fn print_prices(days: &[&Day]) {
    let mut totals: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for (name, amount, taken) in days.iter().flat_map(|day| &day.prices) {
        let total = totals.entry(name).or_default();
        *total = (total.0 + amount, total.1 + taken);
    }
    let mut totals: Vec<_> = totals.into_iter().collect();
    totals.sort_by(|one, other| other.1.1.total_cmp(&one.1.1));
    println!("\n| price | amount per day | worth per day |\n| --- | --- | --- |");
    let count = days.len().max(1) as f64;
    for (name, (amount, taken)) in totals.into_iter().take(PRICES_PER_SITE) {
        println!("| {name} | {:.0} | {:.4} |", amount / count, taken / count);
    }
}

/// Plots the worth of each day of a site; returns the plot's path.
fn plot_site(site: &str, entries: &[Entry]) -> Result<PathBuf, Box<dyn Error>> {
    std::fs::create_dir_all(PLOT_FOLDER)?;
    let file = Path::new(PLOT_FOLDER).join(format!("{site}.svg"));
    let mut series: BTreeMap<&str, Vec<(usize, f64)>> = BTreeMap::new();
    for (number, entry) in entries.iter().enumerate() {
        // Days drawn for a single bench run form no line.
        for day in entry.days.iter().filter(|day| !day.name.starts_with("fresh")) {
            series.entry(&day.name).or_default().push((number, day.worth));
        }
    }
    let area = SVGBackend::new(&file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{site}: worth of each day by score"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0..entries.len().max(2) - 1, 0.0..1.0)?;
    chart.configure_mesh().x_desc("score").y_desc("worth").draw()?;
    for (number, (day, points)) in series.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(day)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    drop(chart);
    drop(area);
    Ok(file)
}

fn print_report(journal: &Path) -> Result<(), Box<dyn Error>> {
    for (site, entries) in read_scores(journal)? {
        if let Some(newest) = entries.last() {
            print_site(&site, newest);
        }
        println!("plot: {}", plot_site(&site, &entries)?.display());
    }
    Ok(())
}

fn journal() -> OptionParser<PathBuf> {
    let journal = positional("JOURNAL").help("Folder with the bench's journal");
    construct!(journal).to_options().descr("Reports where each site loses score, from the bench's journal")
}

fn main() -> ExitCode {
    match print_report(&journal().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("report: {error}");
            ExitCode::FAILURE
        }
    }
}
