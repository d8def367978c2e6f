"""One script over many seeds and policies, several days at once; rules broken and service by policy.

.venv/bin/python benchmarks/seeds.py examples/bad-day.ini --seeds 20 --policies ,even,always --at-once 6
"""

from __future__ import annotations

import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import click
import msgspec


def play(script: str, policy: str, seed: int) -> dict:
    words = [sys.executable, "-m", "hollyridge.cli.main", "day", script, "--json", "--seed", str(seed)]
    ran = subprocess.run(words + ["--policy", policy] * bool(policy), capture_output=True, timeout=1200)
    if ran.returncode not in (0, 1):
        return {"policy": policy, "seed": seed, "failed": ran.stderr.decode()[-300:]}
    return {"policy": policy, "seed": seed, **msgspec.json.decode(ran.stdout)}


@click.command()
@click.argument("script")
@click.option("--seeds", default=20)
@click.option("--policies", default="")
@click.option("--at-once", default=6)
@click.option("--out", type=click.Path(dir_okay=False), help="All results, a JSON line each.")
def main(script: str, seeds: int, policies: str, at_once: int, out: str | None) -> None:
    names = policies.split(",")
    jobs = [(script, policy, seed) for seed in range(1, seeds + 1) for policy in names]
    rows = []
    with ThreadPoolExecutor(at_once) as pool:
        for row in pool.map(lambda job: play(*job), jobs):
            rows.append(row)
            if out:
                with open(out, "ab") as file:
                    file.write(msgspec.json.encode(row) + b"\n")
    for policy in names:
        mine = [row for row in rows if row["policy"] == policy]
        good = [row for row in mine if "failed" not in row]
        broken = {
            rule: sum(not v["kept"] for row in good for v in row["rules"] if v["rule"] == rule) for rule in range(1, 6)
        }
        nearest = {
            rule: max(v["nearest"] for row in good for v in row["rules"] if v["rule"] == rule) for rule in range(1, 6)
        }
        served = [row["served"] for row in good]
        click.echo(
            f"{policy or 'module'}: {len(good)} days, {len(mine) - len(good)} not played; served "
            f"{statistics.mean(served):.4f} ({min(served):.4f} to {max(served):.4f}), worst 10 s "
            f"{statistics.mean(r['worst_10s'] for r in good):.4f}; decisions "
            f"{statistics.mean(r['decisions_sent'] for r in good):.0f}, lines "
            f"{statistics.mean(r['lines'] for r in good):.0f}; broken {broken}; nearest {nearest}"
        )
    base = {row["seed"]: row["served"] for row in rows if row["policy"] == names[0] and "failed" not in row}
    for policy in names[1:]:
        gaps = [
            base[row["seed"]] - row["served"]
            for row in rows
            if row["policy"] == policy and "failed" not in row and row["seed"] in base
        ]
        click.echo(
            f"{names[0] or 'module'} better than {policy} on {sum(g > 0 for g in gaps)} of {len(gaps)} "
            f"seeds, by {statistics.mean(gaps):.4f} on average"
        )


if __name__ == "__main__":
    main()
