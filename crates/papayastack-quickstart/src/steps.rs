//! The steps of the quickstart, each of which checks one guarantee.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use papayastack::{
    Answer, CONFIGURATION_KIND, CONFIGURATION_NAME, CallContext, CallerClient, Hit, IdSource,
    ObjectName, Precondition, QueryClass, QueryRequest, Selection, ShardId, SubmissionRequest,
    new_submission_key,
};
use papayastack_standin::{document_key, naive_search, vocabulary};
use serde_json::json;

use crate::system::{QUERY_SERVICE, SEED, SUBMISSION_SERVICE, System, wait_until};

/// The maximum number of hits that a query requests.
const HITS_LIMIT: u32 = 5;
/// The number of callers that query concurrently while a VM leaves.
const LOAD_CALLERS: usize = 8;
/// The time for which callers go on querying after the VM has left.
const LOAD_AFTER_LEAVE: Duration = Duration::from_millis(500);

/// Runs all steps in order.
///
/// # Errors
/// A request fails, or a guarantee does not hold; the first such step ends the run.
pub(crate) async fn run_all(system: &mut System) -> Result<(), String> {
    check_complete_sweep(system).await?;
    check_lookup(system).await?;
    check_unavailable_shard(system).await?;
    check_repeated_submission(system).await?;
    check_configuration_change(system).await?;
    check_leaving_vm(system).await
}

async fn check_complete_sweep(system: &System) -> Result<(), String> {
    let request = sweep_request();
    let started = Instant::now();
    let answer = send_query(&system.caller, &request).await?;
    let elapsed_ms = started.elapsed().as_millis();
    check_against_naive(&answer, &request.selection)?;
    ensure(answer.coverage().complete().is_some(), "a sweep without faults is complete")?;
    println!(
        "1. Sweep: {} of {} hits, {} shards of snapshot {}, complete, {elapsed_ms} ms.",
        answer.verdict().hits().len(),
        answer.verdict().hits_total(),
        answer.coverage().answered().len(),
        answer.coverage().snapshot()
    );
    Ok(())
}

async fn check_lookup(system: &System) -> Result<(), String> {
    let key = document_key(QUERY_SERVICE, 3, 7);
    let request = QueryRequest {
        class: QueryClass::Lookup,
        selection: Selection::Key(key.clone()),
        ..sweep_request()
    };
    let started = Instant::now();
    let answer = send_query(&system.caller, &request).await?;
    let elapsed_ms = started.elapsed().as_millis();
    check_against_naive(&answer, &request.selection)?;
    let found = answer.verdict().hits().first().is_some_and(|hit| hit.id == key);
    ensure(found, "a lookup finds its document")?;
    let hit = &answer.verdict().hits()[0];
    println!("2. Lookup: {} ({}), {elapsed_ms} ms.", hit.id, hit.summary);
    Ok(())
}

async fn check_unavailable_shard(system: &System) -> Result<(), String> {
    let lost: ShardId = 4;
    let upstream_ids: BTreeSet<String> = system.place.catalogues()[QUERY_SERVICE]
        .newest()
        .and_then(|(_, shards)| shards.get(&lost).cloned())
        .unwrap_or_default()
        .into_iter()
        .collect();
    set_dead(system, &upstream_ids, true);
    let request = QueryRequest { deadline_ms: Some(500), ..sweep_request() };
    let answer = send_query(&system.caller, &request).await?;
    set_dead(system, &upstream_ids, false);
    check_against_naive(&answer, &request.selection)?;
    let missing = answer.coverage().missing();
    ensure(
        answer.coverage().complete().is_none(),
        "an answer without all shards is marked as partial",
    )?;
    ensure(missing.keys().eq([&lost]), "only the shard without upstreams is missing")?;
    ensure(!answer.verdict().is_none_found(), "a partial answer never claims \"none found\"")?;
    println!(
        "3. Sweep with shard {lost} lost: {} of {} shards, missing {missing:?}.",
        answer.coverage().answered().len(),
        answer.coverage().answered().len() + missing.len(),
    );
    Ok(())
}

async fn check_repeated_submission(system: &System) -> Result<(), String> {
    let key = new_submission_key(SystemTime::now(), &IdSource::open());
    let request = SubmissionRequest {
        service: SUBMISSION_SERVICE.to_owned(),
        key: Some(key.clone()),
        body: json!({ "grant": "grant-0003-0007", "remind": "2027-01-15" }),
        deadline_ms: None,
    };
    let first = send_submission(&system.caller, &request).await?;
    let second = send_submission(&system.caller, &request).await?;
    let executions = system.place.executions().get(&key).copied().unwrap_or_default();
    ensure(executions == 1, &format!("a submission runs once, not {executions} times"))?;
    ensure(!first.1 && second.1, "only the second answer is marked as repeated")?;
    ensure(first.0 == second.0, "both answers carry the same receipt")?;
    println!("4. Submission sent twice: ran {executions} time, receipt {} both times.", first.0);
    Ok(())
}

async fn check_configuration_change(system: &System) -> Result<(), String> {
    let name = ObjectName::new(CONFIGURATION_KIND, CONFIGURATION_NAME);
    let object = system.platform.read(&name).await.map_err(|error| error.to_string())?;
    let mut bundle = object.value.clone();
    bundle["change_id"] = json!("quickstart-hedge-budget");
    bundle["base"]["routing"] = json!({ "hedge_budget_permille": 40 });
    let started = Instant::now();
    let version = system
        .platform
        .update(&name, Precondition::Version(object.version), bundle)
        .await
        .map_err(|error| error.to_string())?;
    wait_until("the change is in force on all four VMs", || {
        system.vms.iter().all(|vm| {
            vm.in_force().borrow().as_ref().is_some_and(|current| {
                current.configuration_version >= version
                    && current.settings.routing.hedge_budget_permille == 40
            })
        })
    })
    .await?;
    println!(
        "5. Configuration version {version}: in force on all {} VMs after {} ms.",
        system.vms.len(),
        started.elapsed().as_millis()
    );
    Ok(())
}

/// Lets one VM leave while callers query, and checks that every sweep stays complete.
async fn check_leaving_vm(system: &mut System) -> Result<(), String> {
    let stop = Arc::new(AtomicBool::new(false));
    let sweeps = Arc::new(AtomicU64::new(0));
    let entry_addresses: Vec<_> = system.vms.iter().map(papayastack::Vm::caller_address).collect();
    let callers = (0..LOAD_CALLERS).map(|_| {
        let (stop, sweeps) = (Arc::clone(&stop), Arc::clone(&sweeps));
        let entry_addresses = entry_addresses.clone();
        tokio::spawn(async move {
            let caller = CallerClient::open(entry_addresses, None).await;
            while !stop.load(Ordering::Relaxed) {
                let answer = send_query(&caller, &sweep_request()).await?;
                ensure(answer.coverage().complete().is_some(), "sweeps stay complete")?;
                sweeps.fetch_add(1, Ordering::Relaxed);
            }
            Ok::<(), String>(())
        })
    });
    let callers: Vec<_> = callers.collect();
    let leaving = system.vms.swap_remove(0);
    let leaving_address = leaving.link_address();
    let started = Instant::now();
    leaving.leave().await;
    let elapsed_ms = started.elapsed().as_millis();
    tokio::time::sleep(LOAD_AFTER_LEAVE).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.map_err(|error| error.to_string())??;
    }
    system.platform_standin.remove_vm(leaving_address);
    let sweeps = sweeps.load(Ordering::Relaxed);
    ensure(sweeps > 0, "callers are served while a VM leaves")?;
    println!(
        "6. VM {leaving_address} left in {elapsed_ms} ms: {sweeps} sweeps meanwhile, all complete."
    );
    Ok(())
}

fn sweep_request() -> QueryRequest {
    QueryRequest {
        service: QUERY_SERVICE.to_owned(),
        class: QueryClass::Sweep,
        selection: Selection::Terms(vec![vocabulary(QUERY_SERVICE)[0].to_owned()]),
        deadline_ms: Some(2_000),
        hits_limit: Some(HITS_LIMIT),
    }
}

async fn send_query(caller: &CallerClient, request: &QueryRequest) -> Result<Answer, String> {
    let result = caller.query(request.clone(), CallContext::default()).await;
    result.map(|answer| answer.answer).map_err(|error| format!("a query failed: {error}"))
}

async fn send_submission(
    caller: &CallerClient,
    request: &SubmissionRequest,
) -> Result<(String, bool), String> {
    let result = caller.submit(request.clone(), CallContext::default()).await;
    let answer = result.map_err(|error| format!("a submission failed: {error}"))?;
    Ok((answer.receipt, answer.repeated))
}

/// Compares an answer with the naive search, a sequential reference implementation, over the shards
/// that it covers.
fn check_against_naive(answer: &Answer, selection: &Selection) -> Result<(), String> {
    let snapshot = answer.coverage().snapshot();
    let mut hits: Vec<Hit> = Vec::new();
    let mut hits_total = 0;
    for shard in answer.coverage().answered() {
        let partial = naive_search(SEED, QUERY_SERVICE, snapshot, *shard, selection, HITS_LIMIT);
        hits.extend(partial.hits);
        hits_total += partial.hits_total;
    }
    hits.sort_by(|left, right| right.score.cmp(&left.score).then_with(|| left.id.cmp(&right.id)));
    hits.truncate(HITS_LIMIT as usize);
    let equal = answer.verdict().hits() == hits && answer.verdict().hits_total() == hits_total;
    ensure(equal, "the answer equals the naive search over the shards that it covers")
}

fn set_dead(system: &System, upstream_ids: &BTreeSet<String>, dead: bool) {
    for id in upstream_ids {
        system.place.upstreams()[id].change_behaviour(|behaviour| behaviour.dead = dead);
    }
}

fn ensure(holds: bool, guarantee: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(guarantee.to_owned()) }
}
