//! The instances of this process, and the batches that reach them.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value as Json, json};

use crate::instance::Instance;
use crate::wire::{NANOS, field, number};

#[derive(Default)]
pub struct Host {
    /// None: it was begun and has stopped.
    instances: BTreeMap<u64, Option<Instance>>,
    /// The lists of servers by their number; numbers are used again.
    pages: BTreeMap<u64, Vec<Json>>,
}

impl Host {
    /// Takes one line and gives the reply, or says in one message what is wrong with it.
    pub fn batch(&mut self, line: &str) -> Result<Json, String> {
        let batch: Json = serde_json::from_str(line).map_err(|error| format!("not JSON: {error}"))?;
        let now = number(&batch, "time")? / NANOS;
        let input = field(&batch, "input")?.as_array().ok_or("'input' is not an array")?;
        let mut orders = Vec::new();
        let mut touched = BTreeSet::new();
        for (place, message) in input.iter().enumerate() {
            let (name, event) = message
                .as_object()
                .and_then(|object| object.iter().next())
                .ok_or_else(|| format!("event {place}: not an object with one key"))?;
            let taken = self.event(now, name, event, &mut orders, &mut touched);
            taken.map_err(|message| format!("event {place}, {name}: {message}"))?;
        }
        for i in touched {
            if let Some(Some(instance)) = self.instances.get_mut(&i) {
                instance.settle(now, &mut orders);
            }
        }
        Ok(json!({ "orders": orders }))
    }

    fn event(
        &mut self,
        now: u64,
        name: &str,
        event: &Json,
        orders: &mut Vec<Json>,
        touched: &mut BTreeSet<u64>,
    ) -> Result<(), String> {
        if name == "page" {
            let elements = field(event, "elements")?.as_array().ok_or("'elements' is not an array")?;
            self.pages.insert(number(event, "page")?, elements.clone());
            return Ok(());
        }
        let i = number(event, "i")?;
        if name == "begin" {
            self.instances.insert(i, Some(Instance::begin(i, event)?));
            touched.insert(i);
            return Ok(());
        }
        let instance = self.instances.get_mut(&i).ok_or_else(|| format!("instance {i} was never begun"))?;
        let Some(running) = instance else { return Ok(()) };
        touched.insert(i);
        match name {
            "halt" => *instance = None,
            "members" => {
                let page = event["page"].as_u64().and_then(|page| self.pages.get(&page));
                running.members(now, event, page)?;
            }
            "arrival" => running.arrival(now, event, orders)?,
            "dropped" => running.dropped(now, event)?,
            "pong" => running.pong(now, event)?,
            "resolved" => running.resolved(now, event, orders)?,
            // Timers are looked at after the batch; a stream's start, messages of others, of which none is sent on this
            // wire, and what is new here need no answer.
            _ => {}
        }
        Ok(())
    }
}
