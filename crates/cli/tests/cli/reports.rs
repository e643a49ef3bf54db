//! Tests of `cyclamen spend` and `cyclamen burn`.

use cyc_budget::{Payment, SHARDS, top_up};
use cyc_cli::{Exit, Output, burn::Window, run};
use cyc_ledger::{
    LevelCount, RefusalCount, Segment, Series,
    level::{Count, MINUTE},
};
use cyc_proto::sidecar::RouteClass;
use cyc_standin::{platform, serve::Server, store::Store};
use cyc_store::{HttpPlatform, Platform as _, Precondition};
use cyc_types::{Clock, ErrorKind, Incarnation, Millis, Tokens};
use googletest::prelude::*;
use serde_json::Value;

/// 2026-12-04 in UTC.
const DECEMBER: Millis = Millis::new(1_796_342_400_000);
/// 2027-01-04 in UTC.
const JANUARY: Millis = Millis::new(1_799_020_800_000);

async fn cyclamen(addr: &str, args: &[&str]) -> Output {
    let mut all = args.to_vec();
    all.extend(["--platform", addr]);
    run(all.iter().map(Into::into).collect()).await
}

async fn pay(
    platform: &HttpPlatform,
    account: &str,
    id: &str,
    tokens: u64,
    at: Millis,
) -> Result<()> {
    let payment = Payment {
        budget: account.parse()?,
        account: account.parse()?,
        id: id.into(),
        tokens: Tokens::new(tokens),
        at,
    };
    top_up(platform, SHARDS, payment).await.or_fail()?;
    Ok(())
}

fn segment(at: Millis) -> Result<Segment> {
    let mut segment = Segment::new(Incarnation::new("vm-a".parse()?, 1), 1, at);
    for (money_remained, requests) in [(true, 3), (false, 5)] {
        segment.refusals.push(RefusalCount {
            budget: "league".parse()?,
            kind: ErrorKind::NoTarget,
            money_remained,
            requests,
            tokens: Tokens::new(10 * requests),
        });
    }
    let minute = Clock::System.wall_time().get() / MINUTE.get();
    segment.levels.push(LevelCount {
        minute,
        series: Series {
            class: RouteClass::Status,
            service: "hire-desk".parse()?,
            zone: "almaty-a".parse()?,
        },
        count: Count {
            total: 4,
            good: 3,
            ..Count::default()
        },
    });
    Ok(segment)
}

/// Starts a platform with two accounts and a segment.
async fn start() -> Result<(Server, String)> {
    let server = Server::start(platform::router(Store::default())).await?;
    let addr = server.addr().to_string();
    let client = HttpPlatform::new(server.addr());
    pay(&client, "league", "inv-1", 1_000, DECEMBER).await?;
    pay(&client, "league", "inv-2", 200, JANUARY).await?;
    pay(&client, "club", "inv-3", 50, DECEMBER).await?;
    let segment = segment(DECEMBER)?;
    let body = segment.encode()?;
    client
        .put(&segment.key(), body, Precondition::Absent)
        .await?;
    Ok((server, addr))
}

fn json(output: &Output) -> Result<Value> {
    Ok(serde_json::from_str(&output.out)?)
}

/// Returns the sum of the numbers that follow `name` at the start of a line.
fn sum(table: &str, name: &str) -> u64 {
    let lines = table.lines().map(str::trim);
    let values = lines.filter_map(|line| line.strip_prefix(name)?.split_whitespace().next());
    values.filter_map(|value| value.parse::<u64>().ok()).sum()
}

#[gtest]
#[tokio::test]
async fn spend_balances_and_its_table_agrees_with_its_json() -> Result<()> {
    let (_server, addr) = start().await?;
    let table = cyclamen(&addr, &["spend"]).await;
    let json = json(&cyclamen(&addr, &["spend", "--json"]).await)?;
    expect_that!(table.exit, eq(Exit::Ok), "{table:?}");
    expect_that!(json["balanced"], eq(true));
    let league = &json["accounts"]["league"];
    expect_that!(league["balance"]["paid"], eq(1_200));
    expect_that!(league["months"]["2026-12"]["paid"], eq(1_000));
    expect_that!(league["months"]["2027-01"]["top_ups"][0]["id"], eq("inv-2"));
    let refused = &league["months"]["2026-12"]["refused"]["no_target"];
    expect_that!(refused["requests"], eq(3));
    expect_that!(refused["tokens"], eq(30));
    expect_that!(table.out, contains_substring("3 requests: no_target"));

    let accounts = json["accounts"].as_object().or_fail()?;
    for name in [
        "billed",
        "credited",
        "settled",
        "open",
        "unresolved",
        "free",
    ] {
        let balances = accounts.values().map(|account| &account["balance"][name]);
        let balance_sum: u64 = balances.filter_map(Value::as_u64).sum();
        // The table also has the amounts billed and credited in each month.
        let months = accounts.values().filter_map(|a| a["months"].as_object());
        let monthly = months
            .flat_map(|m| m.values())
            .filter_map(|m| m[name].as_u64());
        expect_that!(
            sum(&table.out, name),
            eq(balance_sum + monthly.sum::<u64>()),
            "{name}"
        );
    }
    expect_that!(sum(&table.out, "top-up"), eq(1_250));
    expect_that!(sum(&table.out, "paid"), eq(2 * 1_250));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn spend_can_be_filtered_by_account_and_month() -> Result<()> {
    let (_server, addr) = start().await?;
    let args = [
        "spend",
        "--json",
        "--account",
        "league",
        "--month",
        "2027-01",
    ];
    let json = json(&cyclamen(&addr, &args).await)?;
    expect_that!(json["accounts"].as_object().map(|a| a.len()), some(eq(1)));
    let league = &json["accounts"]["league"];
    expect_that!(league["balance"]["paid"], eq(1_200));
    expect_that!(league["months"].as_object().map(|m| m.len()), some(eq(1)));
    expect_that!(league["months"]["2027-01"]["paid"], eq(200));

    let unknown = cyclamen(&addr, &["spend", "--account", "nobody"]).await;
    expect_that!(unknown.exit, eq(Exit::Refused));
    expect_that!(unknown.err, contains_substring("nobody"));
    for month in ["2026", "2026-13", "2026-1", "26-01", "2026-+1"] {
        let invalid = cyclamen(&addr, &["spend", "--month", month]).await;
        expect_that!(invalid.exit, eq(Exit::Usage), "{month}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn burn_prints_a_report_and_writes_a_plot() -> Result<()> {
    let (_server, addr) = start().await?;
    let none = cyclamen(&addr, &["burn"]).await;
    expect_that!(none.exit, eq(Exit::Refused));
    expect_that!(none.err, contains_substring("no configuration is in force"));

    let doc = super::etc("dala/document.json");
    expect_that!(cyclamen(&addr, &["submit", &doc]).await.exit, eq(Exit::Ok));
    let json = json(&cyclamen(&addr, &["burn", "--json", "--window", "2h"]).await)?;
    let row = &json["rows"][1];
    expect_that!(row["service"], eq("hire-desk"));
    expect_that!(row["window_ms"], eq(7_200_000));
    expect_that!(row["total"], eq(4));
    expect_that!(row["good"], eq(3));
    expect_that!(row["objective_ms"], eq(250));
    expect_that!(row["verdict"], eq("page"));
    let table = cyclamen(&addr, &["burn"]).await;
    expect_that!(table.out, contains_substring("almaty-a"));

    let file = std::env::temp_dir().join(format!("cyc-burn-{}.svg", std::process::id()));
    let name = file.display().to_string();
    let plotted = cyclamen(&addr, &["burn", "--plot", &name]).await;
    let svg = std::fs::read_to_string(&file)?;
    std::fs::remove_file(&file)?;
    expect_that!(plotted.exit, eq(Exit::Ok));
    expect_that!(svg, contains_substring("</svg>"));
    let invalid = cyclamen(&addr, &["burn", "--plot", "/no/such/folder.svg"]).await;
    expect_that!(invalid.exit, eq(Exit::Usage));
    Ok(())
}

#[gtest]
fn a_window_is_a_number_and_a_unit() -> Result<()> {
    for (text, minutes) in [("1m", 1), ("6h", 360), ("400d", 576_000)] {
        let window: Window = text.parse()?;
        expect_that!(window.length(), eq(Millis::new(minutes * MINUTE.get())));
    }
    for text in [
        "",
        "m",
        "0m",
        "5",
        "5s",
        "-1h",
        "401d",
        "99999999999999999999d",
    ] {
        expect_that!(text.parse::<Window>(), err(anything()), "{text}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn spend_and_burn_report_an_unavailable_platform() -> Result<()> {
    let (server, addr) = start().await?;
    drop(server);
    for command in ["spend", "burn"] {
        let out = cyclamen(&addr, &[command]).await;
        expect_that!(out.exit, eq(Exit::Unavailable), "{out:?}");
        expect_that!(out.err, contains_substring(addr.as_str()));
        expect_that!(out.err, contains_substring("the platform is unavailable"));
        expect_that!(out.out, eq(""));
        let help = cyclamen(&addr, &[command, "--help"]).await;
        expect_that!(help.exit, eq(Exit::Ok));
        expect_that!(help.out, contains_substring("--platform"));
    }
    Ok(())
}
